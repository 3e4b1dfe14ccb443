"""Times for which something that fails is left alone."""

# Keeps the power finite; the longest time is reached long before.
MAX_DOUBLINGS = 10


def exponential(first_s, most_s, n):
    """Return a time that doubles with each failure, up to a longest.

    :param n: number of failures before this one.

    >>> [exponential(0.5, 4.0, n) for n in (0, 1, 2, 3, 4, 999)]
    [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    """
    return min(first_s * 2 ** min(n, MAX_DOUBLINGS), most_s)
