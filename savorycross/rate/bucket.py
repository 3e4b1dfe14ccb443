"""A token bucket whose tokens can be lent and borrowed.

Source of the method: Turner, "New Directions in Communications (or Which Way
to the Information Age?)", IEEE Communications Magazine, 1986.
"""

# Borrowed tokens lapse unless they are used within this time, so that a
# borrower cannot save them up.
BORROWED_S = 0.3
# Part of the burst that is left for sends that have no other way.
RESERVED_PART = 0.5
# Rounding errors of the refill must not cost a whole token.
TOLERANCE = 1e-6


class TokenBucket:
    """Tokens that refill at a rate; each send takes one.

    It starts empty and without a rate.

    :param now: runtime clock time in seconds.
    :param borrowed_s: seconds after which borrowed tokens lapse.

    >>> bucket = TokenBucket(0.0)
    >>> bucket.set_rate(2.0, 3.0, 0.0)
    >>> bucket.count(0.5), bucket.count(9.0)
    (1, 3)
    """

    def __init__(self, now, borrowed_s=BORROWED_S):
        self.rate_per_s = 0.0
        self.burst = 0.0
        self._tokens = 0.0
        self._refilled_at = now
        self._borrowed = 0
        self._borrowed_until = now
        self._borrowed_s = borrowed_s

    def set_rate(self, rate_per_s, burst, now):
        """Set the rate of the refill and the most tokens that are kept.

        :param rate_per_s: tokens a second.
        :param burst: number of tokens.
        """
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def empty(self, now):
        """Drop all tokens."""
        self._refilled_at = now
        self._tokens = 0.0
        self._borrowed = 0

    def add(self, n, now):
        """Add tokens, as far as they are kept; a negative number adds none.

        :param n: number of tokens, with fractions.
        """
        self._refill(now)
        self._tokens = min(self._tokens + max(n, 0.0), self.burst)

    def count(self, now):
        """Return the number of whole tokens."""
        self._refill(now)
        return int(self._tokens + TOLERANCE) + self._borrowed

    def has_more_than_reserve(self, now):
        """Return whether a token can be taken and the reserve be left.

        The reserve is half of the burst; a full bucket always has more.
        """
        self._refill(now)
        needed = min(1.0 + RESERVED_PART * self.burst, self.burst)
        return self._borrowed > 0 or self._tokens + TOLERANCE >= needed > 0.0

    def expect(self, until, now):
        """Return how many tokens there will be at a time, with fractions.

        :param until: runtime clock time in seconds.
        """
        self._refill(now)
        refill = self.rate_per_s * max(until - now, 0.0)
        return self._tokens + self._borrowed + refill

    def take(self, now):
        """Take a token, a borrowed one first; return whether there was one."""
        self._refill(now)
        if self._borrowed:
            self._borrowed -= 1
            return True
        if self._tokens + TOLERANCE < 1.0:
            return False
        self._tokens = max(self._tokens - 1.0, 0.0)
        return True

    def charge(self, now):
        """Take a token even if there is none, which leaves a debt."""
        self._refill(now)
        self._tokens -= 1.0

    def lend(self, wanted, now):
        """Take tokens out for another instance; borrowed ones stay.

        :param wanted: number of tokens that it asks for.
        :returns: number of tokens taken out.
        """
        self._refill(now)
        lent = max(min(wanted, int(self._tokens + TOLERANCE)), 0)
        self._tokens = max(self._tokens - lent, 0.0)
        return lent

    def borrow(self, n, now):
        """Add tokens that another instance has lent."""
        self._refill(now)
        self._borrowed += n
        self._borrowed_until = now + self._borrowed_s

    def _refill(self, now):
        if now >= self._borrowed_until:
            self._borrowed = 0
        elapsed_s = max(now - self._refilled_at, 0.0)
        # Callers that read the time once for several requests give a time
        # before the last refill. Going back to it would refill twice.
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(
            self._tokens + elapsed_s * self.rate_per_s, self.burst
        )
