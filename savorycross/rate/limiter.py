"""Keeps this instance's sends to one target within its part of the rate."""

from savorycross.rate import bucket
from savorycross.rate import share
from savorycross.rate import statement

# A sender lacked tokens lately if it did within this time.
LACKING_S = 0.25
# Time for which a lender keeps the tokens that it expects to use itself.
RESERVE_S = 0.25
# Weight of the latest interval in the average of the sends a second.
USE_WEIGHT = 0.3
MIN_INTERVAL_S = 0.02


class RateLimiter:
    """Limits the sends to a target that states how many it takes.

    ``statement`` is what the target last said. Without a limit in it all
    sends are allowed, and none is counted.

    :param target_id: id of the target.
    :param now: runtime clock time in seconds.
    """

    def __init__(self, target_id, now):
        self.statement = statement.Statement()
        self._target_id = target_id
        self._bucket = bucket.TokenBucket(now)
        self._views = None
        self._lacking_until = now
        self._use_per_s = 0.0
        self._used_at = now

    @property
    def is_limited(self):
        """Whether the target states a limit."""
        return self.statement.rate_per_s is not None

    def record(self, new, views, now):
        """Put a newer Statement in force; return whether the limit changed.

        A new limit begins without tokens, as the target got more until then.

        :param views: the LimitShares that bind this instance.
        """
        previous, self.statement = self.statement, new
        if new.rate_per_s == previous.rate_per_s:
            return False
        if previous.rate_per_s is None:
            self._bucket.empty(now)
        self._views = None
        if self.is_limited:
            self._filled(views, now)
        return True

    def may_send(self, views, now, keeps_reserve=False):
        """Return whether a send is allowed now.

        :param views: the LimitShares that bind this instance.
        :param keeps_reserve: whether the send has to leave tokens for others,
            as the call can do without it or has another target.
        """
        if not self.is_limited:
            return True
        filled = self._filled(views, now)
        if keeps_reserve:
            return filled.has_more_than_reserve(now)
        return filled.count(now) > 0

    def take(self, views, now):
        """Count a send.

        :returns: whether it was within a limit that the target states.
        """
        if not self.is_limited:
            return False
        taken = self._filled(views, now).take(now)
        interval_s = max(now - self._used_at, MIN_INTERVAL_S)
        self._use_per_s += USE_WEIGHT * (1.0 / interval_s - self._use_per_s)
        self._used_at = now
        return taken

    def expect(self, views, until, now):
        """Return the tokens that there will be at a time, with fractions."""
        return self._filled(views, now).expect(until, now)

    def rate_per_s(self, views, now):
        """Return this instance's part of the rate."""
        return self._filled(views, now).rate_per_s

    def record_lack(self, now):
        """Record that a send was not allowed."""
        self._lacking_until = now + LACKING_S

    def is_lacking(self, now):
        """Return whether a send was not allowed lately."""
        return self.is_limited and now < self._lacking_until

    def lend(self, wanted, views, now):
        """Take out tokens for another instance that lacks them.

        An instance lends what it does not expect to use itself soon.

        :param wanted: number of tokens that it asks for.
        :returns: number of tokens that it may use.
        """
        if not self.is_limited or self.is_lacking(now):
            return 0
        idle_s = max(now - self._used_at, MIN_INTERVAL_S)
        use_per_s = min(self._use_per_s, 1.0 / idle_s)
        kept = use_per_s * RESERVE_S
        return self._filled(views, now).lend(wanted, kept, now)

    def borrow(self, n, now):
        """Add tokens that another instance has lent."""
        if self.is_limited:
            self._bucket.borrow(n, now)

    def _filled(self, views, now):
        """Return the bucket, refilled at the rate of the views."""
        if views is not self._views:
            self._views = views
            part = share.smallest(
                share.divide(self.statement.rate_per_s, v, self._target_id)
                for v in views
            )
            self._bucket.set_rate(part.rate_per_s, part.burst, now)
        return self._bucket
