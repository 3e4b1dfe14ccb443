"""Keeps this instance's sends to one target within its part of the rate."""

import math

from savorycross.rate import allocation
from savorycross.rate import share
from savorycross.rate import statement

# Other instances are told when a limit begins, ends or falls by this fraction.
# They learn of smaller changes from the answers that they get.
TOLD_DECREASE = 0.1
# A target whose statement changes with each answer is told of this often.
TOLD_INTERVAL_S = 0.2


class RateLimiter:
    """Limits the sends to a target that states how many it takes.

    ``statement`` is what the target last said. Without a limit in it all
    sends are allowed, and none is counted.

    :param target_id: id of the target.
    :param now: runtime clock time in seconds.
    :param divide: ``share.Division``, which tells this instance's part of
        the rate under a view. The methods take the views that bind this
        instance as a tuple, which is the same one until they change.
    """

    def __init__(self, target_id, now, divide=share.divide):
        self.statement = statement.Statement()
        self._told_per_s = None
        self._tell_at = now
        self._allocation = allocation.Allocation(
            target_id,
            now,
            lambda view: divide(self.statement.rate_per_s, view, target_id),
        )

    @property
    def borrowing(self):
        """The Borrowing that chooses whom to ask for tokens."""
        return self._allocation.borrowing

    @property
    def is_limited(self):
        """Whether the target states a limit."""
        return self.statement.rate_per_s is not None

    def record(self, new, views, now):
        """Put a newer Statement in force; return whether the limit changed.

        A new limit begins without tokens, as the target got more until then.

        :param views: see the class.
        """
        previous, self.statement = self.statement, new
        if new.rate_per_s == previous.rate_per_s:
            return False
        if previous.rate_per_s is None:
            self._allocation.empty(now)
        self._allocation.reset_views()
        if self.is_limited:
            self._allocation.filled(views, now)
        return True

    def record_told(self, now):
        """Record that this instance tells the others of the statement."""
        self._told_per_s = self.statement.rate_per_s
        self._tell_at = now + TOLD_INTERVAL_S

    @property
    def told_per_s(self):
        """The rate that this instance last told the others, or None."""
        return self._told_per_s

    def is_due_to_tell(self, now):
        """Return whether other instances are to be told of the statement."""
        stated, told = self.statement.rate_per_s, self._told_per_s
        if stated is None or told is None:
            has_changed = stated is not told
        else:
            has_changed = stated < (1.0 - TOLD_DECREASE) * told
        return has_changed and now >= self._tell_at

    def may_send(self, views, now, keeps_reserve=False):
        """Return whether a send is allowed now.

        :param views: see the class.
        :param keeps_reserve: whether the send has to leave tokens for others,
            as the call can do without it or has another target.
        """
        if not self.is_limited:
            return True
        filled = self._allocation.filled(views, now)
        if keeps_reserve:
            return filled.has_more_than_reserve(now)
        return filled.count(now) > 0

    def take(self, views, now):
        """Count a send.

        :returns: whether it was within a limit that the target states.
        """
        if not self.is_limited:
            return False
        return self._allocation.filled(views, now).take(now)

    def charge(self, views, now):
        """Count a request that is sent whether or not the limit allows it."""
        if self.is_limited:
            self._allocation.filled(views, now).charge(now)

    def next_send_at(self, views, now):
        """Return the runtime clock time at which a send is allowed."""
        if not self.is_limited:
            return now
        filled = self._allocation.filled(views, now)
        missing = max(1.0 - filled.expect(now, now), 0.0)
        if missing and not filled.rate_per_s:
            return math.inf
        return now + (missing / filled.rate_per_s if missing else 0.0)

    def expect(self, views, until, now):
        """Return the tokens that there will be at a time, with fractions."""
        return self._allocation.filled(views, now).expect(until, now)

    def rate_per_s(self, views, now):
        """Return this instance's part of the rate."""
        return self._allocation.filled(views, now).rate_per_s

    def list_holders(self, shares):
        """Return the names of the instances that have a part of the rate.

        :param shares: LimitShares in force.
        """
        count = share.count_holders(self.statement.rate_per_s, shares)
        return self._allocation.list_holders(shares, count)

    def record_lack(self, now):
        """Record that a send was not allowed."""
        self._allocation.record_lack(now)

    def lend(self, wanted, views, now):
        """Take out tokens for another instance; see ``Allocation.lend``."""
        if not self.is_limited:
            return 0
        return self._allocation.lend(wanted, views, now)

    def borrow(self, n, now):
        """Add tokens that another instance has lent."""
        if self.is_limited:
            self._allocation.borrow(n, now)
