"""Spreads requests over services by weight."""


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    The algorithm is that of the nginx upstream balancer, 2012.

    :param shares: Share objects. Those without a weight get no requests
        unless all are without.
    """

    def __init__(self, shares):
        self._shares = [s for s in shares if s.weight > 0] or list(shares)
        self._credit = [0.0] * len(self._shares)
        self._total = sum(s.weight for s in self._shares)

    def choose(self):
        """Return the name of the service that gets the next request."""
        for i, share in enumerate(self._shares):
            self._credit[i] += share.weight
        best = max(range(len(self._shares)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self._shares[best].service
