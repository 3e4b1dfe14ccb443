"""Chooses which callers lose what an instance holds for them.

Load pattern: callers that send large requests slowly, or many of them, and
callers that don't take their replies. What is held for them grows with each,
until the machine ends the process and everyone's requests with it.

A request that is incomplete hasn't run, so that its refusal costs the caller
another try. The one that has been incomplete for longest goes first. Then go
callers that have taken no byte of their replies for a while, the one that
holds most first. Requests in progress and replies that are being taken stay;
while they hold too much, new requests are refused.
"""

import dataclasses

# A caller that has taken nothing for this time is assumed to take nothing.
STALL_S = 2.0
# Share of the bytes above which memory is short that is left in the end, so
# that one choice lasts for many requests.
LOW_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Relief:
    """What to do for an instance that holds too much.

    :param refused: connections whose incomplete request is refused.
    :param closed: connections that are closed.
    """

    refused: tuple
    closed: tuple


def choose(held, bytes_to_free, now):
    """Return the Relief that frees a number of bytes, or as many as can be.

    :param held: list of ``wire.server.Held``.
    :param now: runtime clock time in seconds.
    """
    unfinished = sorted(
        (h for h in held if h.unfinished_bytes),
        key=lambda h: h.unfinished_at,
    )
    stalled = sorted(
        (h for h in held if h.unsent_bytes and now - h.taken_at >= STALL_S),
        key=lambda h: (-h.unsent_bytes, h.taken_at),
    )
    refused = []
    for item in unfinished:
        if bytes_to_free <= 0:
            break
        refused.append(item.connection)
        bytes_to_free -= item.unfinished_bytes
    closed = []
    for item in stalled:
        if bytes_to_free <= 0:
            break
        closed.append(item.connection)
        bytes_to_free -= item.unsent_bytes
    return Relief(tuple(refused), tuple(closed))
