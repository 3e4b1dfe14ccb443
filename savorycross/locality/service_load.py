"""What an instance knows of a service's targets in each data centre."""

import operator

from savorycross.forward import target_state
from savorycross.locality import spill

# Answers that are older tell nothing of the present load.
MAX_SAMPLE_AGE_S = 2.0
# Fractions are forgotten if a step is late by more, as nothing was sent.
MAX_PAUSE_S = 1.75
DEMAND_HALF_LIFE_S = 1.0
# Assumed size of a request with its reply until some were measured.
INITIAL_BYTES = 1000.0
BYTES_WEIGHT = 0.1
# Assumed until the first sends.
INITIAL_TYPICAL_S = 0.01
MIN_TYPICAL_S = 0.001
# Between two looks at a service whose sends all stay.
QUIET_INTERVAL_S = 0.5
MIN_ELAPSED_S = 0.01
# Processor time of a step, 20% above what was measured: 13, 17, 28 and 66 us
# with 3, 9, 27 and 90 targets.
STEP_COST_S = 14e-6
TARGET_COST_S = 0.75e-6
# Part of it that a look at the own targets takes: 4, 5, 9 and 23 us.
QUIET_COST = 1 / 3
# A failure costs the time of two more sends and a part of the budget for
# extra sends.
FAILURE_PENALTY = 4.0
# Change of a fraction that is logged.
LOGGED_CHANGE = 0.2


class ServiceLoad:
    """The demand for a service by data centre, and its Spill.

    ``decision`` is the Spill, ``step_at`` the runtime clock time of its next
    step, and ``logged`` holds the fractions at the latest event in the log.
    ``has_local`` tells whether targets of the own data centre take sends.
    ``step_load`` is the part of a core that the steps take at the shortest
    interval.

    :param now: runtime clock time in seconds.
    """

    def __init__(self, now):
        self.decision = spill.Spill()
        self.step_at = now
        self.logged = {}
        self.has_local = True
        self.step_load = 0.0
        self._interval_s = spill.STEP_INTERVAL_S
        self._looked_at = now
        self._measured_at = {}
        self._bytes = INITIAL_BYTES
        self._typical_s = INITIAL_TYPICAL_S
        self._demands = {}
        self._totals = {}

    def record_bytes(self, count):
        """Add the size of a request and its reply to the moving average."""
        self._bytes += BYTES_WEIGHT * (count - self._bytes)

    def step(self, own, states, senders, byte_value_s, now, stretch=1.0):
        """Move the fractions by one step.

        :param own: name of the own data centre.
        :param states: TargetStates of the service that may get work.
        :param senders: instances of the own data centre that send.
        :param byte_value_s: seconds of latency that a byte is worth.
        :param now: runtime clock time in seconds.
        :param stretch: factor of the interval to the next step.
        :returns: pair of the slots and the utilisation of the own targets.
        """
        idle_s = now - self._looked_at
        self._looked_at = now
        if idle_s > self._interval_s + MAX_PAUSE_S:
            # What was known is outdated, so the present order holds again.
            self.decision = spill.Spill()
            self._totals.clear()
        elif len(self._totals) > 2 * len(states):
            self._forget_targets(states)
        groups = {own: []}
        for state in states:
            groups.setdefault(state.target.data_centre, []).append(state)
        local = self._measure(own, groups.pop(own), 0.0, now)
        self.has_local = local.slots > 0
        used = spill.find_utilisation(local, senders)
        cost_s = STEP_COST_S + TARGET_COST_S * len(states)
        if not self.decision.fractions and used <= spill.SPILL_UTILISATION:
            # Most services at most times; this is all that they cost.
            self._schedule(QUIET_INTERVAL_S, QUIET_COST * cost_s, stretch, now)
            return local.slots, used
        self._schedule(spill.STEP_INTERVAL_S, cost_s, stretch, now)
        price = self._bytes * byte_value_s / self._typical_s
        sides = {
            name: self._measure(name, group, price, now)
            for name, group in sorted(groups.items())
        }
        self.decision.step(local, sides, senders, now)
        return local.slots, used

    def explain(self, data_centre):
        """Return why a first send goes to another data centre."""
        if not self.has_local:
            return 'no_local_target'
        if data_centre in self.decision.fractions:
            return 'fraction'
        return 'score'

    def note_change(self):
        """Return whether the fractions differ from those in the log.

        Probes don't count, as they come and go.
        """
        fractions = {
            name: fraction
            for name, fraction in self.decision.fractions.items()
            if fraction > spill.PROBE
        }
        if fractions.keys() == self.logged.keys() and all(
            abs(fraction - self.logged[name]) < LOGGED_CHANGE
            for name, fraction in fractions.items()
        ):
            return False
        self.logged = fractions
        return True

    def _schedule(self, interval_s, cost_s, stretch, now):
        """Set the time of the next step.

        :param interval_s: shortest interval in seconds.
        :param cost_s: processor time of a step in seconds.
        """
        self.step_load = cost_s / interval_s
        self._interval_s = interval_s * stretch
        self.step_at = now + self._interval_s

    def _measure(self, data_centre, states, price, now):
        """Return the Side of a data centre.

        :param states: TargetStates of its targets.
        :param price: cost of a send's bytes over the link to it.
        """
        if not states:
            return spill.Side(0.0, 0.0, 0.0)
        measured_at = self._measured_at.get(
            data_centre, now - spill.STEP_INTERVAL_S
        )
        self._measured_at[data_centre] = now
        elapsed_s = max(now - measured_at, MIN_ELAPSED_S)
        weight = 1.0 - 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        demand = self._demands.get(data_centre, 0.0)
        offered = [self._count_offered(s) for s in states]
        offered_s = sum(offered)
        demand += weight * (offered_s / elapsed_s - demand)
        self._demands[data_centre] = demand
        # The cost is that of the targets which the picker prefers.
        weights = offered if offered_s else [1.0] * len(states)
        costs = [_find_cost(s, now) for s in states]
        cost = sum(map(operator.mul, weights, costs)) / sum(weights)
        return spill.Side(
            slots=sum(s.target.slots for s in states if _is_open(s, now)),
            demand=demand,
            cost=cost + price,
            is_known=any(
                now - s.sampled_at < MAX_SAMPLE_AGE_S for s in states
            ),
        )

    def _forget_targets(self, states):
        """Forget targets that may get no work any more."""
        ids = {s.target.id for s in states}
        self._totals = {i: t for i, t in self._totals.items() if i in ids}

    def _count_offered(self, state):
        """Return the typical latencies of the sends since the latest step.

        :returns: their sum in seconds.
        """
        total = state.sends, state.offered_s
        former = self._totals.get(state.target.id, total)
        self._totals[state.target.id] = total
        sends = total[0] - former[0]
        if sends <= 0:
            # Or a new incarnation of the target, which counts from 0.
            return 0.0
        offered_s = total[1] - former[1]
        self._typical_s = max(offered_s / sends, MIN_TYPICAL_S)
        return offered_s


def _find_cost(state, now):
    return state.relative_latency(now) + FAILURE_PENALTY * state.failure_rate(
        now
    )


def _is_open(state, now):
    """Return whether a target takes as many sends as it has slots.

    One that was ejected has to answer first.
    """
    return not (
        state.failures >= target_state.EJECTION_THRESHOLD
        or state.is_cold(now)
        or state.is_paused(now)
        or state.rate.is_limited
    )
