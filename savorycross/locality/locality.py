"""Chooses the data centre of each send from what its targets' states tell."""

import dataclasses

from savorycross.locality import spill

# A fraction of a service without sends is forgotten after this time.
IDLE_S = 30.0
# Answers that are older tell nothing of the present load.
MAX_SAMPLE_AGE_S = 2.0
DEMAND_HALF_LIFE_S = 1.0
# Assumed size of a request with its reply until some were measured.
INITIAL_BYTES = 1000.0
BYTES_WEIGHT = 0.1
# A failure costs the time of two more sends and a part of the budget for
# extra sends.
FAILURE_PENALTY = 4.0


class Locality:
    """The Spill of each service.

    :param data_centre: this instance's data centre.
    :param rng: random.Random.
    :param log: EventLog.
    :param byte_value_s: seconds of latency that a byte over the link is
        worth.
    """

    def __init__(self, data_centre, rng, log, byte_value_s=1e-6):
        self.byte_value_s = byte_value_s
        self._data_centre = data_centre
        self._rng = rng
        self._log = log
        self._entries = {}
        self._senders = 1

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
        entry = self._entries.get(service)
        if entry is None:
            entry = self._entries[service] = _Entry(now)
        if now >= entry.step_at:
            self._step(service, entry, states, now)
        if not entry.decision.fractions:
            return None
        if draw is None:
            draw = self._rng.random()
        return entry.decision.choose(draw)

    def add_bytes(self, service, count):
        """Add the size of a request and its reply."""
        entry = self._entries.get(service)
        if entry is not None:
            entry.bytes += BYTES_WEIGHT * (count - entry.bytes)

    def fractions(self, service):
        """Return the fractions of a service's sends by data centre."""
        entry = self._entries.get(service)
        return {} if entry is None else entry.decision.fractions

    def prune(self, now):
        """Forget services without sends."""
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if now < entry.step_at + IDLE_S
        }

    def _step(self, service, entry, states, now):
        elapsed_s = now - entry.stepped_at
        entry.step_at = now + spill.STEP_INTERVAL_S
        entry.stepped_at = now
        if elapsed_s <= 0.0:
            return
        sides = self._find_sides(entry, states, elapsed_s, now)
        local = sides.pop(self._data_centre, spill.Side(0.0, 0.0, 0.0))
        before = entry.decision.fractions
        entry.decision.step(local, sides, self._senders, now)
        if before.keys() != entry.decision.fractions.keys():
            self._log.event(
                'locality.changed',
                service=service,
                leaving={
                    n: round(f, 2) for n, f in entry.decision.fractions.items()
                },
                slots=local.slots,
                used=round(local.demand * local.cost * self._senders, 2),
            )

    def _find_sides(self, entry, states, elapsed_s, now):
        """Return the Side of each data centre that has targets, by name."""
        members = {}
        for state in states:
            members.setdefault(state.target.data_centre, []).append(state)
        totals = {s.target.id: (s.sends, s.offered_s) for s in states}
        entry.update_typical(totals)
        weight = 1.0 - 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        price = entry.bytes * self.byte_value_s / entry.typical_s
        sides = {}
        for name, group in sorted(members.items()):
            offered_s = sum(
                s.offered_s
                - entry.totals.get(s.target.id, (0, s.offered_s))[1]
                for s in group
            )
            demand = entry.demands.get(name, 0.0)
            demand += weight * (offered_s / elapsed_s - demand)
            entry.demands[name] = demand
            open_states = [s for s in group if _is_open(s, now)]
            costs = [_find_cost(s, now) for s in open_states or group]
            cost = sum(costs) / len(costs)
            sides[name] = spill.Side(
                slots=sum(s.target.slots for s in open_states),
                demand=demand,
                cost=cost if name == self._data_centre else cost + price,
                is_known=any(
                    now - s.sampled_at < MAX_SAMPLE_AGE_S for s in group
                ),
            )
        entry.totals = totals
        return sides


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is remembered of a service.

    :param step_at: runtime clock time of the next step.
    :param bytes: mean size of a request and its reply.
    :param demands: mean sends in flight by data centre, at typical latency.
    :param typical_s: mean typical latency of the latest sends.
    :param totals: pair of ``TargetState.sends`` and ``offered_s`` by target
        at the latest step.
    """

    step_at: float
    stepped_at: float = 0.0
    bytes: float = INITIAL_BYTES
    decision: spill.Spill = dataclasses.field(default_factory=spill.Spill)
    demands: dict = dataclasses.field(default_factory=dict)
    typical_s: float = 0.01
    totals: dict = dataclasses.field(default_factory=dict)

    def update_typical(self, totals):
        """Find the typical latency of the sends since the latest step."""
        sends = offered_s = 0.0
        for id_, (count, seconds) in totals.items():
            former = self.totals.get(id_, (count, seconds))
            sends += count - former[0]
            offered_s += seconds - former[1]
        if sends:
            self.typical_s = offered_s / sends


def _find_cost(state, now):
    return state.relative_latency(now) + FAILURE_PENALTY * state.failure_rate(
        now
    )


def _is_open(state, now):
    """Return whether a target takes as many sends as it has slots."""
    return not (
        state.is_ejected(now)
        or state.is_cold(now)
        or state.is_paused(now)
        or state.rate.is_limited
    )
