"""Chooses the target of a service that gets a request."""

# Penalties are in units of the typical latency, as scores are.
# Added to the score of a target in another data centre.
REMOTE_PENALTY = 1.5
# Added on top if that data centre is not the preferred one.
NOT_PREFERRED_PENALTY = 0.5
# Factor of the failure rate. A failure costs the time of two more sends and
# a part of the budget for extra sends.
FAILURE_PENALTY = 4.0
# Services with more targets are sampled: half of the candidates are in this
# instance's data centre if it has as many.
MAX_CANDIDATES = 6


class Picker:
    """Chooses the target with the lowest expected latency.

    :param data_centre: this instance's data centre.
    :param rng: random.Random.
    """

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng

    def pick(self, states, tried, now, may_send, preferred=None, leaving=None):
        """Return the TargetState of the chosen target, or None.

        Ejected targets are chosen only if all others were tried; a target
        without room may have some soon.

        :param states: TargetStates of the service that may get work.
        :param tried: ids of targets that are excluded.
        :param now: runtime clock time in seconds.
        :param may_send: callable that takes a TargetState and returns
            whether the limits of its sends allow one more.
        :param preferred: data centre that is preferred among the remote
            ones, or None.
        :param leaving: data centre that the send may go to without the
            price of a remote one, or None; see ``locality.Locality``.
        """
        untried = [
            s
            for s in states
            if s.target.id not in tried and s.misdirected_until <= now
        ]
        candidates = [s for s in untried if not s.is_ejected(now)] or untried
        candidates = [s for s in candidates if s.has_room and may_send(s)]
        return min(
            self._sample(candidates, leaving),
            key=lambda s: self.score(s, now, preferred, leaving),
            default=None,
        )

    def score(self, state, now, preferred=None, leaving=None):
        """Return the expected latency in units of the typical one.

        A small random term decides between equal targets.
        """
        load = 1.0 + len(state.outstanding) / state.target.slots
        failures = FAILURE_PENALTY * state.failure_rate(now)
        score = (
            state.relative_latency(now) + state.suspicion(now) + failures
        ) * load
        data_centre = state.target.data_centre
        if data_centre not in (self._data_centre, leaving):
            score += REMOTE_PENALTY
            if preferred not in (None, data_centre):
                score += NOT_PREFERRED_PENALTY
        return score + 0.01 * self._rng.random()

    def _sample(self, states, leaving):
        if len(states) <= MAX_CANDIDATES:
            return states
        local = [
            s for s in states if s.target.data_centre == self._data_centre
        ]
        remote = [
            s for s in states if s.target.data_centre != self._data_centre
        ]
        if leaving is not None:
            chosen = [s for s in remote if s.target.data_centre == leaving]
            remote = chosen or remote
        half = MAX_CANDIDATES // 2
        local_count = min(len(local), MAX_CANDIDATES - min(half, len(remote)))
        return self._rng.sample(local, local_count) + self._rng.sample(
            remote, min(len(remote), MAX_CANDIDATES - local_count)
        )
