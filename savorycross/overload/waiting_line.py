"""Orders the sends that wait until a target of their service has room.

Load pattern: many callers at once, or shards that have lost most of their
slots. Who sends first is then chance, and many calls get most of their parts
but not all. So the most urgent wait in front, among them those that need the
fewest further parts, as their work so far is lost otherwise, and among these
the ones with the nearest deadline.

One turn in a few ignores urgency, so that no kind of request starves.
"""

import dataclasses

# Of this many turns, one goes to the send that has waited longest.
FAIR_TURN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """What decides on the place of a waiting send.

    :param urgency: priorities of the request, the one that goes first in
        front; 0 is the most urgent.
    :param needed: further parts that the call needs before it can be
        answered; 0 or less if the waiting one is not needed.
    :param end_at: runtime clock time of the deadline in seconds.
    :param is_late: whether an answer would come after the objective.
    """

    urgency: tuple[int, ...]
    needed: int
    end_at: float
    is_late: bool = False

    @property
    def key(self):
        """The key by which places are sorted.

        >>> Place((0, 2), 3, 9.0).key < Place((1, 0), 1, 5.0).key
        True
        >>> Place((1,), 1, 9.0).key < Place((1,), 2, 5.0).key
        True
        >>> Place((1,), 2, 5.0).key < Place((0,), 0, 1.0).key
        True
        """
        return (
            self.needed <= 0,
            self.is_late,
            self.urgency,
            self.needed,
            self.end_at,
        )


class WaitingLine:
    """The waiting sends of one service.

    Waiting sends are any objects with a method ``place`` that returns their
    Place now.
    """

    def __init__(self):
        self._waiting = {}
        self._turns = 0

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, send):
        return send in self._waiting

    def join(self, send):
        """Add a send, unless it waits already."""
        self._waiting.setdefault(send)

    def leave(self, send):
        """Remove a send, if it waits."""
        self._waiting.pop(send, None)

    def ordered(self):
        """Return the waiting sends, the one whose turn it is first."""
        if not self._waiting:
            return []
        ranked = sorted(self._waiting, key=lambda s: s.place().key)
        if self._turns % FAIR_TURN == FAIR_TURN - 1:
            oldest = next(iter(self._waiting))
            ranked.remove(oldest)
            ranked.insert(0, oldest)
        return ranked

    def record_turn(self):
        """Record that a waiting send got room."""
        self._turns += 1
