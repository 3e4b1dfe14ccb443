"""Chooses when a caller whose request was refused is to come back.

Load pattern: a service without a reachable target, or more work than slots
for seconds. Callers that return at once find the same; those that return
together make the next peak. So they are told the time at which room is
expected, spread over some time after it, the urgent first, and no later than
callers can still use.
"""

import xxhash

# Shortest time until a return; targets change little in less.
MIN_S = 0.05
# Callers wait no longer than this part of the time that they have left.
MAX_PART = 1 / 3
# Callers return within this part of the expected time after it.
SPREAD = 0.5
# Less urgent priorities of a route count as this one, and so do those of a
# workspace.
LAST_PRIORITY = 3


def choose_return_s(expected_s, left_s, priorities, call_id):
    """Return the seconds after which a caller is to try again.

    :param expected_s: seconds until there is room, as far as known.
    :param left_s: seconds until the caller's deadline.
    :param priorities: priorities of the request, the one that goes first in
        front; 0 is the most urgent.
    :param call_id: identity of the try, as bytes.

    >>> urgent_s = choose_return_s(0.2, 9.0, (0, 3), b'a')
    >>> urgent_s < choose_return_s(0.2, 9.0, (1, 0), b'a')
    True
    >>> round(choose_return_s(4.0, 0.6, (0,), b'a'), 3)
    0.2
    """
    rank = _rank(priorities)
    chance = xxhash.xxh32_intdigest(call_id) / 2**32
    expected_s = max(expected_s, MIN_S)
    return_s = expected_s * (1.0 + SPREAD * (rank + chance) / 2)
    return max(min(return_s, left_s * MAX_PART), 0.0)


def _rank(priorities):
    """Return 0 for the most urgent priorities, up to 1 for the least.

    >>> _rank((0,)), _rank((3,)), _rank((9,))
    (0.0, 1.0, 1.0)
    >>> _rank((0, 3)) < _rank((1, 0)) < _rank((1, 1)) < _rank((9, 9))
    True
    """
    rank = last = 0
    for priority in priorities:
        rank = rank * (LAST_PRIORITY + 1) + min(priority, LAST_PRIORITY)
        last = last * (LAST_PRIORITY + 1) + LAST_PRIORITY
    return rank / last
