"""Targets by service, as discovery and operators declare them."""

from savorycross.forward import target_state


class TargetRegistry:
    """TargetStates by id and by service.

    :param make_pool: callable from an address to a Pool.
    :param log: EventLog.
    """

    def __init__(self, make_pool, log):
        self._make_pool = make_pool
        self._log = log
        self._by_id = {}
        self._by_service = {}
        self._out = set()
        self._services = {}
        self._instances = 1

    def states(self):
        """Return all TargetStates."""
        return list(self._by_id.values())

    def service(self, name):
        """Return the declared Service of a name, or None."""
        return self._services.get(name)

    def find_usable(self, target_id):
        """Return the TargetState of an id if it may get work, or None."""
        found = self._by_id.get(target_id)
        return found if found is not None and self._is_usable(found) else None

    def usable(self, service):
        """Return the TargetStates of a service that may get work."""
        return [
            s for s in self._by_service.get(service, ()) if self._is_usable(s)
        ]

    def _is_usable(self, state):
        target = state.target
        return not target.is_draining and target.data_centre not in self._out

    def set_services(self, services):
        """Take the declared services of a configuration."""
        self._services = services
        self._set_limits()

    def set_instances(self, n):
        """Set the number of instances that share targets' connections."""
        if n != self._instances:
            self._instances = n
            self._set_limits()

    def put(self, target, now):
        """Take a target's entry."""
        known = self._by_id.get(target.id)
        if known is None or _is_other(known.target, target):
            if known is not None:
                self._drop(known)
            state = target_state.TargetState(
                target, self._make_pool(target.address), now
            )
            self._by_id[target.id] = state
            self._by_service.setdefault(target.service, []).append(state)
            self._set_limit(state)
            self._note_cold(state, now)
            self._log.event(
                'target.known',
                target=target.id,
                service=target.service,
                address=target.address,
                data_centre=target.data_centre,
            )
            return
        if known.target.is_draining != target.is_draining:
            self._log.event(
                'target.draining' if target.is_draining else 'target.ready',
                target=target.id,
                service=target.service,
            )
        known.target = target

    def remove(self, target_id):
        """Forget a target."""
        known = self._by_id.pop(target_id, None)
        if known is not None:
            self._drop(known)
            self._log.event(
                'target.gone', target=target_id, service=known.target.service
            )

    def set_out(self, data_centre, is_out, now):
        """Take a data centre out, or back in."""
        if is_out == (data_centre in self._out):
            return
        if is_out:
            self._out.add(data_centre)
        else:
            self._out.discard(data_centre)
            for state in self._by_id.values():
                if state.target.data_centre == data_centre:
                    self._note_cold(state, now)
        self._log.event(
            'data_centre.out' if is_out else 'data_centre.back',
            data_centre=data_centre,
        )

    def prune(self, now):
        """Close connections that were idle for too long."""
        for state in self._by_id.values():
            state.pool.prune(now)

    def drop_idle(self):
        """Close all idle connections."""
        for state in self._by_id.values():
            state.pool.close()

    def _drop(self, state):
        states = self._by_service[state.target.service]
        states.remove(state)
        if not states:
            del self._by_service[state.target.service]
        state.pool.close()

    def _note_cold(self, state, now):
        found = self._services.get(state.target.service)
        declared = found.cold_s if found is not None else 0.0
        cold_s = max(declared, state.target.warmup_s)
        state.cold_until = max(state.cold_until, now + cold_s)

    def _set_limits(self):
        for state in self._by_id.values():
            self._set_limit(state)

    def _set_limit(self, state):
        found = self._services.get(state.target.service)
        total = found.max_connections if found is not None else 0
        if not total:
            total = state.target.slots * 4
        state.pool.limit = max(total // self._instances, 1)


def _is_other(known, target):
    return (known.address, known.service, known.born) != (
        target.address,
        target.service,
        target.born,
    )
