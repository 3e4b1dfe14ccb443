"""Exponential backoff for what fails repeatedly."""

# Keeps the power finite; the maximum is reached after far fewer doublings.
MAX_DOUBLINGS = 10


def exponential(initial_s, max_s, n):
    """Return a delay in seconds that doubles with each failure.

    :param initial_s: delay after the first failure in seconds.
    :param max_s: upper bound of the delay in seconds.
    :param n: number of failures before this one.

    >>> [exponential(0.5, 4.0, n) for n in (0, 1, 2, 3, 4, 999)]
    [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    """
    return min(initial_s * 2 ** min(n, MAX_DOUBLINGS), max_s)
