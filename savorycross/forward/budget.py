"""This instance's share of the extra sends to a service."""

# Part of the share that stays for retries when hedges ask.
HEDGE_RESERVE = 0.3
# Part of the slack that may be spent at once; the rest accrues.
BURST = 0.5
# What a restarted process may spend at once, as its predecessor may have
# spent the share.
RESTART = 0.2


class ExtraBudget:
    """A token bucket that keeps a bound over a sliding window.

    In any window the bucket gives at most ``ratio`` times the requests
    counted in it, plus this instance's share of the slack.

    :param limits: ExtraLimits of all instances together.
    :param now: runtime clock time.
    :param fraction: part of the burst that is there at first.
    """

    def __init__(self, limits, now, fraction=1.0):
        self._limits = limits
        self._instances = 1
        self._fraction = fraction
        self._tokens = None
        self._at = now
        self.spent = 0

    def set_instances(self, n):
        """Set the number of instances that share the slack."""
        self._instances = max(n, 1)

    def set_limits(self, limits):
        """Set the ExtraLimits of all instances together."""
        self._limits = limits

    def earn(self):
        """Count a request for the service."""
        self._refill(self._at)
        cap = self._cap()
        self._tokens = min(self._tokens + self._limits.ratio, cap)

    def take_retry(self, now):
        """Take a token for a send after a failure, if there is one."""
        return self._take(now, 0.0)

    def take_hedge(self, now):
        """Take a token for a second send, if enough are left."""
        return self._take(now, HEDGE_RESERVE * self._cap())

    def _take(self, now, reserve):
        self._refill(now)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True

    def _cap(self):
        return max(BURST * self._limits.slack / self._instances, 2.0)

    def _refill(self, now):
        cap = self._cap()
        if self._tokens is None:
            self._tokens = cap * self._fraction
        rate = (1.0 - BURST) * self._limits.slack / self._instances
        earned = (now - self._at) * rate / self._limits.window_s
        self._tokens = min(self._tokens + earned, cap)
        self._at = now
