"""Measures how often sends arrive at a service without room."""

import math

# An arrival counts half after this time, so that a change of the load shows
# within a second.
HALF_LIFE_S = 0.35
# Counts that decay add up to the rate divided by this.
_RATE_PER_COUNT = math.log(2) / HALF_LIFE_S
# Less urgent sends count together, which bounds the number of counts.
MAX_URGENCIES = 16


class ArrivalRate:
    """Rates of arrivals by urgency, as decaying counts."""

    def __init__(self):
        self._counts = {}

    def record(self, urgency, now):
        """Count an arrival.

        :param urgency: see ``waiting_line.Place``.
        :param now: runtime clock time in seconds.
        """
        if urgency not in self._counts and len(self._counts) >= MAX_URGENCIES:
            urgency = max(self._counts)
        self._counts[urgency] = (self._decay(urgency, now) + 1.0, now)

    def estimate(self, urgency, now):
        """Return the rate of arrivals of an urgency, per second."""
        return self._decay(urgency, now) * _RATE_PER_COUNT

    def estimate_above(self, urgency, now):
        """Return the rate of more urgent arrivals, per second."""
        counts = (self._decay(u, now) for u in self._counts if u < urgency)
        return sum(counts) * _RATE_PER_COUNT

    def _decay(self, urgency, now):
        count, since = self._counts.get(urgency, (0.0, now))
        return count * 0.5 ** ((now - since) / HALF_LIFE_S)
