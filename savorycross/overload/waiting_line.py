"""Orders the sends that wait until a target of their service has room.

Load pattern: many callers at once, or shards that have lost most of their
slots. Who sends first is then chance, and many calls get most of their parts
but not all. So the most urgent wait in front, among them those that need the
fewest further parts, as their work so far is lost otherwise, and among these
the ones with the nearest deadline.

One turn in a few ignores urgency, so that no kind of request starves.

A workspace whose callers send many times their usual would fill the line. So
workspaces of equal urgency take turns: the sends of each get rounds, and those
of an earlier round go first, so that its burst costs the workspace itself.

Source of the rounds: Goyal, Vin and Cheng, "Start-Time Fair Queueing: A
Scheduling Algorithm for Integrated Services Packet Switching Networks", 1996.
"""

import collections
import dataclasses

from savorycross.overload import arrival_rate

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

    def key(self, round_number=0):
        """Return the key by which places are sorted.

        :param round_number: round of the send among those of its workspace.

        >>> Place((0, 2), 3, 9.0).key() < Place((1, 0), 1, 5.0).key()
        True
        >>> Place((1,), 1, 9.0).key() < Place((1,), 2, 5.0).key()
        True
        >>> Place((1,), 2, 5.0).key() < Place((0,), 0, 1.0).key()
        True
        >>> Place((1,), 2, 9.0).key(4) < Place((1,), 1, 9.0).key(5)
        True
        """
        return (
            self.needed <= 0,
            self.is_late,
            self.urgency,
            round_number,
            self.needed,
            self.end_at,
        )


class WaitingLine:
    """The waiting sends of one service.

    Waiting sends are any objects with a method ``place`` that returns their
    Place now, and an attribute ``workspace``: the Workspace of their call, or
    None. Those without one keep to the round that is served. ``arrivals`` is
    the ArrivalRate of calls that found no room.
    """

    def __init__(self):
        self.arrivals = arrival_rate.ArrivalRate()
        self._waiting = {}
        self._turns = 0
        # The round that is served, and the next one of each workspace that
        # is ahead of it.
        self._round = 0
        self._next_rounds = {}

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
        rounds = self._find_rounds()
        ranked = sorted(self._waiting, key=lambda s: s.place().key(rounds[s]))
        if self._turns % FAIR_TURN == FAIR_TURN - 1:
            oldest = next(iter(self._waiting))
            ranked.remove(oldest)
            ranked.insert(0, oldest)
        return ranked

    def count_before(self, send):
        """Return how many sends go before a send that waits.

        :returns: number of those whose places are in front, and of those
            that have waited for longer.
        """
        rounds = self._find_rounds()
        key = send.place().key(rounds[send])
        ahead = sum(
            s is not send and s.place().key(rounds[s]) <= key
            for s in self._waiting
        )
        older = next(n for n, s in enumerate(self._waiting) if s is send)
        return ahead, older

    def record_turn(self, send):
        """Record that a send that waited got room."""
        self._turns += 1
        if send.workspace is None:
            return
        name = send.workspace.name
        self._round = self._next_round(name)
        self._next_rounds[name] = self._round + 1
        self._next_rounds = {
            name: number
            for name, number in self._next_rounds.items()
            if number > self._round
        }

    def _next_round(self, name):
        return max(self._round, self._next_rounds.get(name, 0))

    def _find_rounds(self):
        """Return the round of each send.

        The sends of a workspace get one round after the other, in the order
        in which they came.
        """
        counts = collections.Counter()
        rounds = {}
        for send in self._waiting:
            rounds[send] = self._round
            if send.workspace is not None:
                name = send.workspace.name
                rounds[send] = self._next_round(name) + counts[name]
                counts[name] += 1
        return rounds
