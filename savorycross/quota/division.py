"""Divides the quota of a workspace among the instances that take callers.

Load pattern: a workspace sends at several times its quota, through instances
that each get another part of its requests, while most workspaces stay far
below theirs. The holders have equal parts, and borrow from each other.

The bound allows more than the quota. Half of that is given to callers, so
that none below the quota is refused because its tokens are elsewhere; the rest
covers instances that disagree about the holders for a short time.
"""

import dataclasses

from savorycross.gateway import instance_settings
from savorycross.overload import shares as limit_shares
from savorycross.rate import borrowing
from savorycross.rate import share

# Part of the overage and slack that callers get.
GIVEN_PART = 0.5
# Tokens that an instance has lent, and that the borrower uses later, have
# been refilled by then. They are used within this time, or not at all: a reply
# counts until it is late, and the tokens lapse after as long.
ON_THE_WAY_S = 0.1
# Part of its share that an instance uses whose share others may have; all of
# them together stay within what is not given to callers.
UNCERTAIN_PART = 0.1
# Without bounds in the settings, quotas hold exactly in any such window.
DEFAULT_LIMITS = instance_settings.QuotaLimits(5.0, 0.0, 0.0)
# A holder keeps the tokens of this time at least, as after all were asked in
# vain nobody is asked for as long.
MIN_BURST_S = borrowing.PAUSE_S
# Tokens are lent whole, so a holder keeps one more than that, as far as the
# bound allows, if there are no more holders than these.
USUAL_HOLDERS = 12
# Tokens that each of more holders keeps at least. With about one each, most of
# them have only a part of a token, and requests below the quota find none.
HELD_TOKENS = 4.0
# Smallest part of the rate that is granted, however small the bound is.
MIN_RATE_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What all instances together admit for a workspace.

    :param rate_per_s: requests a second.
    :param burst: requests that may be admitted at once after a pause.
    :param spare: requests that the bound leaves on top in any window.
    """

    rate_per_s: float
    burst: float
    spare: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HolderView:
    """What this instance knows of the holders of parts.

    :param shares: LimitShares among the holders.
    :param is_certain: whether no other instance may have its part.
    """

    shares: limit_shares.LimitShares
    is_certain: bool = True


def make_grant(workspace, limits):
    """Return the Grant of a workspace with a quota.

    :param workspace: Workspace.
    :param limits: QuotaLimits.

    >>> from savorycross.workspace.workspace import Workspace
    >>> limits = instance_settings.QuotaLimits(5.0, 0.1, 20.0)
    >>> grant = make_grant(Workspace('a', 0, 22.0, 22.0), limits)
    >>> round(grant.rate_per_s, 1), round(grant.burst, 1)
    (23.1, 33.1)
    """
    rate_per_s, window_s = workspace.rate_per_s, limits.window_s
    allowed = rate_per_s * window_s + workspace.burst
    bound = allowed * (1.0 + limits.overage) + limits.slack
    factor = 1.0 + GIVEN_PART * limits.overage
    given = workspace.burst * factor + GIVEN_PART * limits.slack
    # A holder needs a whole token to admit anything.
    burst = max(given, MIN_BURST_S * rate_per_s, 1.0)
    longest_s = window_s + ON_THE_WAY_S
    room = max(bound - burst - rate_per_s * factor * longest_s, 0.0)
    useful = USUAL_HOLDERS + MIN_BURST_S * rate_per_s
    burst = max(burst, min(useful, burst + room))
    granted = min(rate_per_s * factor, (bound - burst) / longest_s)
    rate_per_s = max(granted, MIN_RATE_PART * rate_per_s)
    spare = bound - burst - rate_per_s * longest_s
    return Grant(rate_per_s, burst, max(spare, 0.0))


def count_holders(grant, shares):
    """Return how many of the senders hold a part, those ranked first.

    Each holder can keep a whole token, without which it admits nothing.

    :param shares: LimitShares.

    >>> shares = limit_shares.LimitShares('0', frozenset(map(str, range(99))))
    >>> count_holders(Grant(22.0, 33.0), shares)
    12
    """
    useful = max(int(grant.burst / HELD_TOKENS), USUAL_HOLDERS)
    return max(min(int(grant.burst), useful, len(shares.senders)), 1)


def divide(grant, view, name):
    """Return the RateShare of an instance.

    :param grant: Grant of the workspace.
    :param view: HolderView of the instance.
    :param name: name of the workspace.

    >>> shares = limit_shares.LimitShares('a', frozenset('abcd'))
    >>> divide(Grant(20.0, 10.0), HolderView(shares), 'w')
    RateShare(rate_per_s=5.0, burst=2.5)
    """
    shares = view.shares
    count = count_holders(grant, shares)
    if not shares.is_sender or not shares.units(count, name):
        return share.RateShare()
    part_per_s, burst = grant.rate_per_s / count, grant.burst / count
    if view.is_certain:
        return share.RateShare(part_per_s, burst)
    return share.RateShare(
        UNCERTAIN_PART * part_per_s, max(UNCERTAIN_PART * burst, 1.0)
    )
