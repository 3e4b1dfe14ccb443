"""The bound on requests to a target that states how many it takes.

In any window a target may get as many requests as its rate allows, times the
overage, and the slack; from the time on by which all instances have learned of
the rate.
"""

import bisect
import math

LEARNING_S = 4.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5.0


class StatedRate:
    """The limit that a stand-in of a target states, and what it then gets.

    ``rate_per_s`` is the limit of requests a second, or None; ``arrivals``
    holds the time of each request since ``since``, when it began.
    """

    def __init__(self):
        self.rate_per_s = None
        self.since = math.inf
        self.arrivals = []

    def begin(self, rate_per_s, now):
        """State a limit of requests a second, or none, from now on."""
        self.rate_per_s = rate_per_s
        self.since = now
        self.arrivals = []

    def count(self, now):
        """Count a request of any kind, while a limit is stated."""
        if self.rate_per_s is not None:
            self.arrivals.append(now)

    def worst_ratio(self, now):
        """Return the largest ratio of requests to the bound on them."""
        if self.rate_per_s is None:
            return 0.0
        return worst_ratio(self.arrivals, self.rate_per_s, self.since, now)


def worst_ratio(arrivals, rate_per_s, since, until):
    """Return the largest ratio of requests in a window to the bound.

    :param arrivals: runtime clock times of requests, in order.
    :param rate_per_s: requests a second that the target states.
    :param since: runtime clock time at which it first stated the rate.
    :param until: runtime clock time at which it last did.

    >>> worst_ratio([5.0, 5.1, 8.0, 8.9, 9.1], 0.0, 0.0, 20.0)
    0.8
    """
    bound = OVERAGE * WINDOW_S * rate_per_s + SLACK
    starts = [t for t in arrivals if since + LEARNING_S <= t]
    return max(
        (
            count_between(arrivals, start, start + WINDOW_S) / bound
            for start in starts
            if start + WINDOW_S <= until
        ),
        default=0.0,
    )


def count_between(times, since, until):
    """Return how many of some times, in order, are in a period."""
    return bisect.bisect_left(times, until) - bisect.bisect_left(times, since)
