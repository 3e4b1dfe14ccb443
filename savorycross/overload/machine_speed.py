"""Tells how fast an instance answers, by its machine and by what is seen.

Load pattern: machines with a fraction of a core beside others with several,
and machines that do less than they promise. An instance has one thread, so
that more than a core makes it no faster.
"""

# An event loop that runs later than this delays each request by more than
# most objectives leave.
MAX_LAG_S = 0.25
# Part of the stated speed that is assumed while the loop runs later.
DELAYED_PART = 0.25


def usable_speed(cores, lag_s):
    """Return the part of a core that an instance can use.

    :param cores: processor of the machine in cores; 0 if it is not known.
    :param lag_s: seconds by which the event loop runs late.

    >>> usable_speed(2.15, 0.01), usable_speed(0.36, 0.01)
    (1.0, 0.36)
    >>> usable_speed(2.15, 0.4)
    0.25
    """
    speed = min(cores, 1.0) if cores > 0 else 1.0
    return speed * DELAYED_PART if lag_s > MAX_LAG_S else speed
