"""Chooses the data centre of each send from what its targets' states tell."""

from savorycross.locality import link_use
from savorycross.locality import service_load

# The fractions of a service without sends are forgotten after this time.
IDLE_S = 30.0
# Part of a core for the steps of all services, by the times measured with one
# service. With 1,700, whose state leaves the processor's cache between two
# steps, they take twice as long, and control traffic may use 1.2% in all.
MAX_STEP_LOAD = 0.005


class Locality:
    """The fractions of all services, and the use of the links.

    ``use`` is the LinkUse.

    :param data_centre: this instance's data centre.
    :param rng: random.Random.
    :param log: EventLog.
    :param byte_value_s: seconds of latency that a byte over the link is
        worth.
    """

    def __init__(self, data_centre, rng, log, byte_value_s=1e-6):
        self.byte_value_s = byte_value_s
        self.use = link_use.LinkUse(data_centre)
        self._data_centre = data_centre
        self._rng = rng
        self._log = log
        self._loads = {}
        self._senders = 1
        self._stretch = 1.0

    def set_senders(self, count):
        """Set how many instances of the data centre send for callers."""
        self._senders = max(1, count)

    def choose(self, service, states, draw, now):
        """Return the data centre that a send leaves for, or None.

        :param states: TargetStates of the service that may get work.
        :param draw: number from 0 to 1, the same for all sends of a call, or
            None for a random one.
        :param now: runtime clock time in seconds.
        """
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = service_load.ServiceLoad(now)
        if now >= load.step_at:
            self._step(service, load, states, now)
        if not load.decision.fractions:
            return None
        if draw is None:
            draw = self._rng.random()
        return load.decision.choose(draw)

    def record_send(self, state, kind):
        """Count a send to a target in another data centre.

        :param state: TargetState of the target.
        :param kind: value of the SendKind.
        """
        data_centre = state.target.data_centre
        reason = kind
        if kind == 'first':
            load = self._loads.get(state.target.service)
            reason = 'score' if load is None else load.explain(data_centre)
        self.use.sends[data_centre, reason] += 1

    def record_bytes(self, state, count):
        """Count a request with its reply over the link to a target.

        :param state: TargetState of the target.
        :param count: number of bytes.
        """
        target = state.target
        self.use.bytes[target.data_centre] += count
        load = self._loads.get(target.service)
        if load is not None:
            load.record_bytes(count)

    def fractions(self, service):
        """Return the fractions of a service's sends by data centre."""
        load = self._loads.get(service)
        return {} if load is None else load.decision.fractions

    def count_leaving(self):
        """Return the number of services of which sends leave."""
        return sum(bool(load.logged) for load in self._loads.values())

    def prune(self, now):
        """Forget services without sends, and space the steps of the others.

        The interval grows with the number of services, so that their steps
        don't exceed their part of a core.
        """
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if now < load.step_at + IDLE_S
        }
        step_load = sum(load.step_load for load in self._loads.values())
        self._stretch = max(1.0, step_load / MAX_STEP_LOAD)

    def _step(self, service, load, states, now):
        slots, used = load.step(
            self._data_centre,
            states,
            self._senders,
            self.byte_value_s,
            now,
            self._stretch,
        )
        if load.note_change():
            self._log.event(
                'locality.changed',
                service=service,
                leaving={n: round(f, 2) for n, f in load.logged.items()},
                slots=slots,
                used=round(used, 2),
            )
