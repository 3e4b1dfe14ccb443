"""Estimates whether a call that waits for a slot gets one in time.

Load pattern: a shard that callers cannot do without has a single slow target
left. It serves a part of the calls; the others would wait in line until their
deadline. So a call whose chance of a turn is negligible is refused before any
of its parts is sent.

The rate of turns is the number of sends in flight divided by their recent
latency. Source: Little, "A Proof for the Queuing Formula: L = lambda W", 1961.
"""

import dataclasses
import math

from savorycross.overload import waiting_line

# A call with this chance of an answer in time is never refused early.
MIN_CHANCE = 0.1
# A call that was not refused within a quarter of its objective waits on as
# long as it has this chance. With the same one, calls of little chance would
# replace each other in the line, all of them refused late.
MIN_LATE_CHANCE = 0.01
# Standard deviation of the time between two turns, as a part of its mean.
VARIATION = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What is known of the turn of one send.

    :param turn_rate_per_s: sends of the service that end in a second, all of
        which give a turn; infinity if it is not known.
    :param urgent_rate_per_s: sends a second that arrive and are more urgent.
    :param fresh_rate_per_s: sends a second that arrive, are as urgent and go
        first once this send is late.
    :param ahead: waiting sends that go first.
    :param older: waiting sends that have waited for longer.
    :param in_time_s: seconds for which the send is not late.
    :param useful_s: seconds until a turn is of no use.
    """

    turn_rate_per_s: float
    urgent_rate_per_s: float
    fresh_rate_per_s: float
    ahead: int
    older: int
    in_time_s: float
    useful_s: float


def estimate_chance(prospect):
    """Return the chance of a turn in time, from 0 to 1.

    It is rather too high than too low, as sends ahead may give up.

    >>> estimate_chance(Prospect(100.0, 0.0, 10.0, 0, 0, 0.1, 0.8)) > 0.99
    True
    >>> estimate_chance(Prospect(4.0, 0.0, 20.0, 3, 9, 0.1, 0.8)) < 0.01
    True
    >>> estimate_chance(Prospect(math.inf, 0.0, 20.0, 90, 90, 0.1, 0.8))
    1.0
    """
    rate = prospect.turn_rate_per_s
    useful_s = prospect.useful_s
    if useful_s <= 0.0:
        return 0.0
    if rate == math.inf:
        return 1.0
    in_time_s = min(max(prospect.in_time_s, 0.0), useful_s)
    left_rate = max(rate - prospect.urgent_rate_per_s, 0.0)
    late_rate = max(left_rate - prospect.fresh_rate_per_s, 0.0)
    turns = left_rate * in_time_s + late_rate * (useful_s - in_time_s)
    by_place = find_tail(turns, prospect.ahead + 1)
    turns_by_time = rate * useful_s / waiting_line.FAIR_TURN
    return max(by_place, find_tail(turns_by_time, prospect.older + 1))


def find_tail(mean, count):
    """Return the chance of a number of turns where a mean is expected.

    The first turn comes after half of the usual time, as the sends in flight
    are under way. The times of several turns add up to a normal distribution.

    >>> round(find_tail(3.0, 3), 2), find_tail(1e6, 3), find_tail(3.0, 1000)
    (0.8, 1.0, 0.0)
    """
    deviation = VARIATION * math.sqrt(count)
    return 0.5 * math.erfc((count - 0.5 - mean) / deviation / math.sqrt(2.0))


def expect_turn_s(prospect):
    """Return the seconds until the turn, by the mean rate of turns."""
    return (prospect.ahead + 1) / max(prospect.turn_rate_per_s, 1e-3)
