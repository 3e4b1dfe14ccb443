"""Selection of a replica among those with a free slot."""

import random
import typing


class ReplicaSelector(typing.Protocol):
    """Selects one of several replicas."""

    def select(self, candidates):
        """Return one of the candidates, or None to wait for another one.

        :param candidates: non-empty list of Replica.
        """


class RandomSelector:
    """Selects a random replica, as a baseline for comparison.

    :param seed: seed of the random numbers.
    """

    def __init__(self, seed=0):
        self._random = random.Random(seed)

    def select(self, candidates):
        """Return a random candidate."""
        return self._random.choice(candidates)


class LeastExpectedTimeSelector:
    """Selects the replica with the least expected time.

    The expected time is the latency times the requests in flight, the new
    one included. Warm replicas come before all others.

    Source of the idea: Wydrowski et al., "Load is not what you should
    balance: Introducing Prequal", 2024.
    """

    def select(self, candidates):
        """Return the candidate with the least expected time."""
        if len(candidates) == 1:
            return candidates[0]
        return min(candidates, key=_sort_key)


def _sort_key(replica):
    latency = replica.latency.value or 0.0
    outstanding = replica.limiter.in_flight + 1
    return (not replica.limiter.is_warm, latency * outstanding, outstanding)
