"""The quota of one workspace, as far as this instance grants it."""

import math

from savorycross.quota import division
from savorycross.rate import allocation
from savorycross.rate import borrowing

# Time after which a reply counts as lost; requests wait for it, and most of
# them have an objective of some tenths of a second.
REPLY_S = 0.04
# Borrowed tokens are for requests that wait, which take them at once.
BORROWED_S = 0.05
# Longest time for which nobody is asked while nobody has had tokens.
MAX_PAUSE_S = 0.8
# Callers are told to return no later than this, as the quota may be raised.
MAX_RETURN_S = 5.0


class WorkspaceQuota:
    """This instance's part of the quota of a workspace.

    ``allocation`` holds its tokens.

    :param grant: Grant of the workspace.
    :param name: name of the workspace.
    :param now: runtime clock time in seconds.
    """

    def __init__(self, grant, name, now):
        self.grant = grant
        self.name = name
        self.allocation = allocation.Allocation(
            name,
            now,
            lambda view: division.divide(self.grant, view, name),
            borrowing.Borrowing(REPLY_S, _choose_pause_s(grant), rotates=True),
            BORROWED_S,
        )
        self._returned_until = now
        self._limited_until = None
        self._largest_burst = 0.0
        self._largest_until = now

    def set_grant(self, grant, views, now, window_s):
        """Put another Grant in force; more burst can be used at once.

        That is more than the largest burst of the last window, so that
        changes back and forth add no tokens.

        :param views: see ``rate.allocation.Allocation``.
        :param window_s: seconds for which requests count.
        """
        if grant == self.grant:
            return
        bucket = self.allocation.filled(views, now)
        largest = self._largest_burst if now < self._largest_until else 0.0
        self._largest_burst = max(bucket.burst, largest)
        self._largest_until = now + window_s
        self.grant = grant
        self.allocation.borrowing.max_pause_s = _choose_pause_s(grant)
        self.allocation.reset_views()
        bucket = self.allocation.filled(views, now)
        bucket.add(bucket.burst - self._largest_burst, now)

    def limit_pause(self, holders):
        """Let no bucket overflow while nobody is asked for tokens.

        :param holders: number of instances that have a part.
        """
        pause_s = _choose_pause_s(self.grant, holders)
        self.allocation.borrowing.max_pause_s = pause_s

    def record_refusal(self, until):
        """Record a refusal; return whether it is the first for some time.

        :param until: runtime clock time until which the workspace counts as
            limited.
        """
        is_first = self._limited_until is None
        self._limited_until = until
        return is_first

    @property
    def is_limited(self):
        """Whether a request was refused a short time ago."""
        return self._limited_until is not None

    def end_limit(self, now):
        """Return whether the workspace counts as limited no longer now."""
        if self._limited_until is None or now < self._limited_until:
            return False
        self._limited_until = None
        return True

    def take(self, views, now):
        """Take a token; return whether there was one."""
        if self.allocation.filled(views, now).take(now):
            return True
        self.allocation.record_lack(now)
        return False

    def expect_token(self, waiting, views, now):
        """Return when this instance's part has a token for a request.

        :param waiting: number of requests that go before it.
        :returns: runtime clock time in seconds; infinity if it has no part.
        """
        bucket = self.allocation.filled(views, now)
        missing = max(waiting + 1.0 - bucket.expect(now, now), 0.0)
        if not missing:
            return now
        if not bucket.rate_per_s:
            return math.inf
        return now + missing / bucket.rate_per_s

    def list_lenders(self, shares):
        """Return the other instances that have a part of the quota.

        :param shares: LimitShares in force.
        """
        return [n for n in self.list_holders(shares) if n != shares.own]

    def list_holders(self, shares):
        """Return the instances that have a part of the quota.

        :param shares: LimitShares in force.
        """
        count = division.count_holders(self.grant, shares)
        return self.allocation.list_holders(shares, count)

    def choose_return_at(self, senders, now):
        """Return when a refused caller is to come back.

        The callers that this instance refuses get the tokens of an equal part
        one after the other, so that they do not return together in vain.

        :param senders: number of instances that take callers.
        :returns: runtime clock time in seconds.
        """
        interval_s = max(senders, 1) / self.grant.rate_per_s
        return_at = max(self._returned_until, now) + interval_s
        self._returned_until = min(return_at, now + MAX_RETURN_S)
        return self._returned_until


def _choose_pause_s(grant, holders=1):
    """Return the longest pause in which no bucket of a holder overflows.

    A holder lends whole tokens, so that it may have almost one more than
    when it was last asked.
    """
    return min(
        MAX_PAUSE_S,
        max((grant.burst - holders) / grant.rate_per_s, borrowing.PAUSE_S),
    )
