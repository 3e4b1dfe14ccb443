"""The bound on requests to a target that states how many it takes.

In any window a target may get as many requests as its rate allows, times the
overage, and the slack; from the time on by which all instances have learned of
the rate.
"""

import bisect

LEARNING_S = 4.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5.0


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
