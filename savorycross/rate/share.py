"""Divides the rate that a target states among the instances that send.

Load pattern: a target takes fewer requests a second than there are senders.
Equal parts would give each a token every few seconds, and a burst of all of
them could exceed the rate. So about as many senders as the target takes
requests a second get equal parts, by rendezvous hashing of the target, and the
others borrow from them (``rate.borrowing``).

With a burst of one second, the senders together send at most five times the
rate and a few requests in four seconds, borrowed tokens included.
"""

import dataclasses
import typing

# Holders of a part beyond the number of requests a second.
EXTRA_HOLDERS = 2
# Tokens that are kept for bursts, as seconds of the rate.
BURST_S = 1.0
# A target that states less gets a request now and then all the same, as only
# an answer tells that the limit has ended.
MIN_RATE_PER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RateShare:
    """This instance's part of the rate that a target states.

    :param rate_per_s: requests a second.
    :param burst: requests that may be sent at once after a pause.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0


class Division(typing.Protocol):
    """Tells an instance's part of the rate that a target states."""

    def __call__(self, rate_per_s, view, target_id):
        """Return the RateShare of this instance.

        :param rate_per_s: rate that the target states.
        :param view: what this instance knows of those that send.
        :param target_id: id of the target.
        """


def divide(rate_per_s, shares, target_id):
    """Return the RateShare of an instance.

    :param rate_per_s: rate that the target states.
    :param shares: LimitShares of the instance.

    >>> from savorycross.overload.shares import LimitShares
    >>> divide(10.0, LimitShares('a', frozenset('abcd')), 't')
    RateShare(rate_per_s=2.5, burst=2.5)
    >>> parts = [
    ...     divide(1.0, LimitShares(name, frozenset('abcd')), 't')
    ...     for name in 'abcd'
    ... ]
    >>> sum(p.rate_per_s for p in parts), sum(p.burst for p in parts)
    (1.0, 3.0)
    """
    if not shares.is_sender:
        return RateShare()
    rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
    count = count_holders(rate_per_s, shares)
    if not shares.units(count, target_id):
        return RateShare()
    part_per_s = rate_per_s / count
    return RateShare(part_per_s, max(part_per_s * BURST_S, 1.0))


def count_holders(rate_per_s, shares):
    """Return how many of the senders hold a part, those ranked first.

    >>> from savorycross.overload.shares import LimitShares
    >>> count_holders(1.0, LimitShares('a', frozenset('abcd')))
    3
    """
    rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
    return min(int(rate_per_s) + EXTRA_HOLDERS, len(shares.senders))


def smallest(parts):
    """Return the smallest of several RateShares."""
    return min(parts, key=lambda part: part.rate_per_s)
