"""A hybrid logical clock.

Stamps order events across processes: an event that a message caused has a
larger stamp than the sending of the message. Source of the algorithm:
Kulkarni et al., "Logical Physical Clocks", 2014.
"""

_LOGICAL_BITS = 16


class HybridClock:
    """A clock that issues increasing stamps close to the wall clock.

    A stamp is a 64-bit integer that holds milliseconds since the epoch in
    its upper 48 bits and a counter in its lower 16 bits.

    :param wall: callable that returns seconds since the epoch.

    >>> clock = HybridClock(lambda: 1.0)
    >>> stamp = clock.tick()
    >>> clock.tick() > stamp, milliseconds(stamp)
    (True, 1000)
    >>> clock.merge(stamp + (5 << 16)) > stamp + (5 << 16)
    True
    """

    def __init__(self, wall):
        self._wall = wall
        self._last = 0

    def tick(self):
        """Return a stamp larger than all issued or merged before."""
        now = int(self._wall() * 1000) << _LOGICAL_BITS
        self._last = max(now, self._last + 1)
        return self._last

    def merge(self, stamp):
        """Merge a received stamp and return a larger one."""
        self._last = max(self._last, stamp)
        return self.tick()


def milliseconds(stamp):
    """Return the milliseconds since the epoch in a stamp."""
    return stamp >> _LOGICAL_BITS
