"""This instance's part of a rate that several instances divide.

Load pattern: requests that count toward one rate arrive at many instances,
and not in the proportion of their parts. Each instance has a bucket with its
part, lends tokens that it does not need, and borrows those that it lacks.
"""

from savorycross.rate import borrowing
from savorycross.rate import bucket
from savorycross.rate import share

# Requests that wait are tried again more often, so an instance whose requests
# lack tokens has recorded that within this time.
LACKING_S = 0.05


class Allocation:
    """A token bucket that is refilled at this instance's part of a rate.

    ``borrowing`` chooses whom to ask for tokens. The methods take the views
    that bind this instance as a tuple, which is the same one until they
    change; the smallest part among them is in force.

    :param key: name of the limited object.
    :param now: runtime clock time in seconds.
    :param divide: callable that takes a view and returns this instance's
        RateShare under it.
    :param asking: Borrowing, or None for one with the usual times.
    :param borrowed_s: seconds for which borrowed tokens can be used.
    """

    def __init__(
        self, key, now, divide, asking=None, borrowed_s=bucket.BORROWED_S
    ):
        self.borrowing = asking or borrowing.Borrowing()
        self._key = key
        self._divide = divide
        self._bucket = bucket.TokenBucket(now, borrowed_s)
        self._views = None
        self._ranking = None, ()
        self._lacking_until = now

    def empty(self, now):
        """Drop all tokens."""
        self._bucket.empty(now)

    def fill(self, views, now):
        """Add as many tokens as are kept, as none was taken before."""
        bucket_in_force = self.filled(views, now)
        bucket_in_force.add(bucket_in_force.burst, now)

    def reset_views(self):
        """Read the part again at the next use, as the rate has changed."""
        self._views = None

    def filled(self, views, now):
        """Return the TokenBucket, refilled at the rate of the views."""
        if views is not self._views:
            self._views = views
            part = share.smallest(self._divide(view) for view in views)
            self._bucket.set_rate(part.rate_per_s, part.burst, now)
        return self._bucket

    def list_holders(self, shares, count):
        """Return the names of the instances that have a part.

        :param shares: LimitShares in force.
        :param count: number of holders.
        """
        ranked_shares, ranked = self._ranking
        if ranked_shares is not shares:
            ranked = shares.rank(self._key)
            self._ranking = shares, ranked
        return ranked[:count]

    def record_lack(self, now):
        """Record that a request was not allowed."""
        self._lacking_until = now + LACKING_S

    def lend(self, wanted, views, now):
        """Take out tokens for another instance whose requests lack them.

        An instance whose own requests lacked tokens just now lends none.

        :param wanted: number of tokens that it asks for.
        :returns: number of tokens that it may use.
        """
        if now < self._lacking_until:
            return 0
        return self.filled(views, now).lend(wanted, now)

    def borrow(self, n, now):
        """Add tokens that another instance has lent."""
        self._bucket.borrow(n, now)
