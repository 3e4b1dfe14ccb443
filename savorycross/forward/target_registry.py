"""The registry of targets, as discovery and operators declare them."""

import dataclasses

from savorycross.forward import target_state

# An entry can lapse while the store is away, though its target is alive. The
# target declares itself again within this time.
RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Removed:
    """What a target said in its answers before it was removed.

    :param removed_at: runtime clock time in seconds.
    """

    state: target_state.TargetState
    removed_at: float


class TargetRegistry:
    """Known targets by id and by service.

    A target may get work unless it is draining, as its entry or its answers
    say, or its data centre is evacuated, which means that operators have
    taken it out of use. What a target said in its answers is remembered when
    its entry is removed and written again.

    :param make_pool: callable that takes an address and returns a Pool.
    :param log: EventLog.
    """

    def __init__(self, make_pool, log):
        self._make_pool = make_pool
        self._log = log
        self._by_id = {}
        self._by_service = {}
        self._removed = {}
        self._evacuated = set()
        self._services = {}
        self._shares = None

    def states(self):
        """Return the TargetStates of all targets."""
        return list(self._by_id.values())

    def find_service(self, name):
        """Return the declared Service of a name, or None."""
        return self._services.get(name)

    def find(self, target_id):
        """Return the TargetState of a target, or None."""
        return self._by_id.get(target_id)

    def find_usable(self, target_id):
        """Return the TargetState of a target that may get work, or None."""
        state = self._by_id.get(target_id)
        return state if state is not None and self._is_usable(state) else None

    def list_usable(self, service):
        """Return the TargetStates of a service's targets that may get work."""
        return [
            s for s in self._by_service.get(service, ()) if self._is_usable(s)
        ]

    def list_service(self, service):
        """Return the TargetStates of all of a service's targets."""
        return list(self._by_service.get(service, ()))

    def _is_usable(self, state):
        return not state.is_withheld and self.is_available(state)

    def is_available(self, state):
        """Return whether a target may get work, roll-outs aside."""
        target = state.target
        return (
            not target.is_draining
            and not state.is_leaving
            and target.data_centre not in self._evacuated
        )

    def set_services(self, services):
        """Set the declared services.

        :param services: Service by name.
        """
        self._services = services
        self._apply_all_shares()

    def set_shares(self, shares):
        """Set this instance's shares of the connections to targets.

        :param shares: LimitShares.
        """
        self._shares = shares
        self._apply_all_shares()

    def put(self, target, now):
        """Add a target or replace what is known of it.

        A new incarnation of a target starts with a new state.

        :param target: Target.
        :param now: runtime clock time in seconds.
        """
        current = self._by_id.get(target.id)
        if current is None or _is_new_incarnation(current.target, target):
            if current is not None:
                self._drop(current)
            state = self._make_state(target, now)
            self._by_id[target.id] = state
            self._by_service.setdefault(target.service, []).append(state)
            self._apply_shares(state)
            self._extend_cold_period(state, now)
            self._log.event(
                'target.known',
                target=target.id,
                service=target.service,
                address=target.address,
                data_centre=target.data_centre,
            )
            return
        if current.target.is_draining != target.is_draining:
            self._log.event(
                'target.draining' if target.is_draining else 'target.ready',
                target=target.id,
                service=target.service,
            )
        current.target = target
        # A target may become cold again while it runs.
        current.extend_cold_period(now + target.warmup_s)

    def remove(self, target_id, now):
        """Remove a target, if it is known, and close its idle connections.

        :param now: runtime clock time in seconds.
        """
        removed = self._by_id.pop(target_id, None)
        if removed is not None:
            self._drop(removed)
            if (
                removed.rate.is_limited
                or removed.is_leaving
                or removed.is_paused(now)
            ):
                self._removed[target_id] = _Removed(removed, now)
            self._log.event(
                'target.gone', target=target_id, service=removed.target.service
            )

    def set_evacuated(self, data_centre, is_evacuated, now):
        """Take a data centre out of use, or back into use.

        Targets of a data centre that returns are cold at first.
        """
        if is_evacuated == (data_centre in self._evacuated):
            return
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)
            for state in self._by_id.values():
                if state.target.data_centre == data_centre:
                    self._extend_cold_period(state, now)
        self._log.event(
            'data_centre.out' if is_evacuated else 'data_centre.back',
            data_centre=data_centre,
        )

    def prune(self, now):
        """Close idle connections, and forget targets removed long ago."""
        for state in self._by_id.values():
            state.pool.prune(now)
        self._removed = {
            id_: removed
            for id_, removed in self._removed.items()
            if now - removed.removed_at < RETENTION_S
        }

    def close_idle(self):
        """Close all idle connections."""
        for state in self._by_id.values():
            state.pool.close()

    def _drop(self, state):
        states = self._by_service[state.target.service]
        states.remove(state)
        if not states:
            del self._by_service[state.target.service]
        state.pool.close()

    def _make_state(self, target, now):
        """Return a TargetState, with what the target said before."""
        removed = self._removed.pop(target.id, None)
        former = removed.state if removed is not None else None
        if former is not None and _is_new_incarnation(former.target, target):
            former = None
        state = target_state.TargetState(
            target,
            self._make_pool(target.address),
            now,
            former.rate if former is not None else None,
        )
        if former is not None:
            state.is_leaving = former.is_leaving
            state.pause(former.paused_until)
        return state

    def _extend_cold_period(self, state, now):
        service = self._services.get(state.target.service)
        service_cold_s = service.cold_s if service is not None else 0.0
        cold_s = max(service_cold_s, state.target.warmup_s)
        state.extend_cold_period(now + cold_s)

    def _apply_all_shares(self):
        for state in self._by_id.values():
            self._apply_shares(state)

    def _apply_shares(self, state):
        """Set this instance's shares of connections and sends to a target."""
        service = self._services.get(state.target.service)
        total = service.max_connections if service is not None else 0
        if not total:
            total = state.target.slots * 4
        if self._shares is None:
            state.pool.limit = total
            return
        shares = self._shares
        state.pool.limit = shares.connections(total, state.target.id)
        state.max_in_flight = shares.in_flight(state.target.slots)


def _is_new_incarnation(current, target):
    return (current.address, current.service, current.born) != (
        target.address,
        target.service,
        target.born,
    )
