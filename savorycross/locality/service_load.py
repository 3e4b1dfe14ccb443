"""What an instance knows of a service's targets in each data centre."""

from savorycross.locality import spill

# Answers that are older tell nothing of the present load.
MAX_SAMPLE_AGE_S = 2.0
DEMAND_HALF_LIFE_S = 1.0
# Assumed size of a request with its reply until some were measured.
INITIAL_BYTES = 1000.0
BYTES_WEIGHT = 0.1
# Assumed until the first sends.
INITIAL_TYPICAL_S = 0.01
MIN_TYPICAL_S = 0.001
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

    :param now: runtime clock time in seconds.
    """

    def __init__(self, now):
        self.decision = spill.Spill()
        self.step_at = now
        self.logged = {}
        self.has_local = True
        self._stepped_at = now - spill.STEP_INTERVAL_S
        self._bytes = INITIAL_BYTES
        self._typical_s = INITIAL_TYPICAL_S
        self._demands = {}
        self._totals = {}

    def record_bytes(self, count):
        """Add the size of a request and its reply to the moving average."""
        self._bytes += BYTES_WEIGHT * (count - self._bytes)

    def step(self, own, states, senders, byte_value_s, now):
        """Move the fractions by one step.

        :param own: name of the own data centre.
        :param states: TargetStates of the service that may get work.
        :param senders: instances of the own data centre that send.
        :param byte_value_s: seconds of latency that a byte is worth.
        :param now: runtime clock time in seconds.
        :returns: pair of the slots and the utilisation of the own targets.
        """
        elapsed_s = now - self._stepped_at
        self.step_at = now + spill.STEP_INTERVAL_S
        self._stepped_at = now
        if elapsed_s > MAX_SAMPLE_AGE_S:
            # What was known is outdated, so the present order holds again.
            self.decision = spill.Spill()
            self._totals = {}
        price = self._bytes * byte_value_s / self._typical_s
        sides = self._find_sides(own, states, price, elapsed_s, now)
        local = sides.pop(own, spill.Side(0.0, 0.0, 0.0))
        self.has_local = local.slots > 0
        return local.slots, self.decision.step(local, sides, senders, now)

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

    def _find_sides(self, own, states, price, elapsed_s, now):
        """Return the Side of each data centre that has targets, by name.

        :param price: cost of a send's bytes over a link.
        """
        offered = self._measure_offered(states)
        weight = 1.0 - 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        members = {}
        for state in states:
            members.setdefault(state.target.data_centre, []).append(state)
        sides = {}
        for name, group in sorted(members.items()):
            demand = self._demands.get(name, 0.0)
            demand += weight * (offered.get(name, 0.0) / elapsed_s - demand)
            self._demands[name] = demand
            extra = 0.0 if name == own else price
            sides[name] = _make_side(group, demand, extra, now)
        return sides

    def _measure_offered(self, states):
        """Return the seconds of work that were sent since the latest step.

        :returns: sum of the sends' typical latencies by data centre.
        """
        totals = {}
        offered = {}
        sends = 0
        for state in states:
            id_ = state.target.id
            totals[id_] = state.sends, state.offered_s
            former = self._totals.get(id_, totals[id_])
            sends += state.sends - former[0]
            name = state.target.data_centre
            seconds = state.offered_s - former[1]
            # A new incarnation of a target counts from 0.
            offered[name] = offered.get(name, 0.0) + max(0.0, seconds)
        self._totals = totals
        if sends > 0:
            typical_s = sum(offered.values()) / sends
            self._typical_s = max(typical_s, MIN_TYPICAL_S)
        return offered


def _make_side(states, demand, price, now):
    open_states = [s for s in states if _is_open(s, now)]
    costs = [_find_cost(s, now) for s in open_states or states]
    return spill.Side(
        slots=sum(s.target.slots for s in open_states),
        demand=demand,
        cost=sum(costs) / len(costs) + price,
        is_known=any(now - s.sampled_at < MAX_SAMPLE_AGE_S for s in states),
    )


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
