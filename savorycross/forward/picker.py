"""Which target of a service gets a request."""

# What a target in another data centre must be faster by, in units of the
# usual latency.
REMOTE_COST = 1.5
# What one in a data centre that is not preferred must be faster by.
SCATTER_COST = 0.5
# A failure costs the time of two more sends and a part of the budget.
FAILURE_COST = 4.0
# Large services are sampled: one's own data centre first, then others.
MAX_CANDIDATES = 6


class Picker:
    """Chooses the target with the least expected latency.

    :param data_centre: this instance's data centre.
    :param rng: random.Random.
    """

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng

    def pick(self, states, tried, now, cold_limit, preferred=None):
        """Return a TargetState, or None.

        Ejected targets are taken only if no other is left.

        :param states: TargetStates of the service that may get work.
        :param tried: ids of targets that are not to be taken.
        :param cold_limit: sends to a cold target in any second, or None.
        :param preferred: data centre that is preferred among other ones.
        """
        open_ = [
            s
            for s in states
            if s.target.id not in tried
            and s.pool.has_room
            and s.misdirected_until <= now
        ]
        best = [s for s in open_ if not s.is_ejected(now)] or open_
        for state in sorted(
            self._sample(best), key=lambda s: self.score(s, now, preferred)
        ):
            if state.take_cold(now, cold_limit):
                return state
        return None

    def score(self, state, now, preferred=None):
        """Return the expected latency in units of the usual one."""
        load = 1.0 + len(state.outstanding) / state.target.slots
        failures = FAILURE_COST * state.failure_rate(now)
        found = (state.slowness(now) + state.suspicion(now) + failures) * load
        if state.target.data_centre != self._data_centre:
            found += REMOTE_COST
            if preferred not in (None, state.target.data_centre):
                found += SCATTER_COST
        return found + 0.01 * self._rng.random()

    def _sample(self, states):
        if len(states) <= MAX_CANDIDATES:
            return states
        near = [s for s in states if s.target.data_centre == self._data_centre]
        far = [s for s in states if s.target.data_centre != self._data_centre]
        half = MAX_CANDIDATES // 2
        n = min(len(near), MAX_CANDIDATES - min(half, len(far)))
        return self._rng.sample(near, n) + self._rng.sample(
            far, min(len(far), MAX_CANDIDATES - n)
        )
