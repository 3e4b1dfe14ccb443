"""Remembers shares of limits for as long as they bind this instance.

An instance that gains a share begins to use it only when those that lost it
know so, and their sends have left the window that the limit applies to.
"""

# Time within which all instances learn that the senders have changed.
VIEW_SPREAD_S = 1.0


class ShareViews:
    """The LimitShares in force and those that were in force lately.

    :param shares: LimitShares in force.
    :param retention_s: seconds for which former shares bind.
    """

    def __init__(self, shares, retention_s):
        self.shares = shares
        self._retention_s = retention_s
        self._former = []
        self._binding = (shares,)

    def replace(self, shares, now):
        """Put shares in force.

        :param now: runtime clock time in seconds.
        """
        self.retain(self.shares, now)
        self.shares = shares
        self._binding = self._list_binding()

    def retain(self, shares, now):
        """Let shares bind as if they had been in force until now."""
        self._former.append((now + self._retention_s, shares))
        self._binding = self._list_binding()

    def binding(self, now):
        """Return a tuple of all LimitShares that bind at a time.

        It is the same tuple until it changes.
        """
        if self._former and self._former[0][0] <= now:
            self._former = [f for f in self._former if f[0] > now]
            self._binding = self._list_binding()
        return self._binding

    def _list_binding(self):
        return (self.shares, *(shares for _, shares in self._former))
