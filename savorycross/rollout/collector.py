"""Collects the answers of targets until they are reported.

Load pattern: near and far targets, and those of different routes, differ in
latency as such, so their answers are counted apart.

Source of the method: comparison within strata (Mantel and Haenszel, J. Natl.
Cancer Institute 22(4), 1959).
"""

from savorycross.rollout import sums

MAX_STRATA = 64


class Collector:
    """Sums of answers by route and distance.

    :param data_centre: this instance's data centre.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre
        self._sums = {}

    def add(self, route_name, state, is_new, seconds, has_failed):
        """Count an answer.

        :param state: TargetState of the target.
        :param is_new: whether it has the new version.
        :param seconds: latency of the answer.
        """
        distance = 'near'
        if state.target.data_centre != self._data_centre:
            distance = 'far'
        stratum = f'{route_name} {distance}'
        pair = self._sums.get(stratum)
        if pair is None:
            if len(self._sums) >= MAX_STRATA:
                return
            pair = self._sums[stratum] = (sums.Sums(), sums.Sums())
        pair[is_new].add_answer(seconds, has_failed)

    def take(self, limit):
        """Return pairs of Sums by stratum, and count from zero again.

        :param limit: number of strata that are taken at most.
        """
        names = list(self._sums)[:limit]
        return {name: self._sums.pop(name) for name in names}
