"""This instance's share of the budget for retries and hedges."""

import collections

# Sends and requests are counted in time buckets of this length.
BUCKET_S = 0.5
# Scales the ratio down, as requests may be spread unevenly over the window.
RATIO_MARGIN = 0.9
# Part of the share that is reserved for retries; hedges cannot use it.
RETRY_RESERVE = 0.15
# Part of the share that is reserved for retries and for hedges without
# which an answer fails.
VITAL_RESERVE = 0.5


class ExtraSendBudget:
    """Bounds the extra sends (retries and hedges) in a sliding window.

    In any window this instance makes at most ``ratio`` times the requests
    that it counted there, plus its share of the slack. For a process that
    replaces another one the slack grows linearly over the first window,
    because the predecessor may have spent it.

    :param limits: ExtraSendLimits of all instances together.
    :param now: runtime clock time in seconds.
    :param is_successor: whether another process may have spent the share.
    """

    def __init__(self, limits, now, is_successor=False):
        self._limits = limits
        self._fraction = 1.0
        self._full_slack_at = now + limits.window_s if is_successor else now
        self._buckets = collections.deque()
        self._requests = 0
        self._sends = 0

    def set_limits(self, limits):
        """Set the ExtraSendLimits of all instances together."""
        self._limits = limits

    def set_fraction(self, fraction):
        """Set this instance's part of the slack.

        :param fraction: from 0 to 1.
        """
        self._fraction = fraction

    def restart_slack(self, now):
        """Let the slack grow from nothing over one window.

        :param now: runtime clock time in seconds.
        """
        self._full_slack_at = now + self._limits.window_s

    def deposit(self, now):
        """Count a request for the service, which allows more extra sends."""
        self._current_bucket(now)[1] += 1
        self._requests += 1

    def try_withdraw_retry(self, now):
        """Count a retry if the budget allows it; return whether it does."""
        return self._try_withdraw(now, 0.0)

    def try_withdraw_hedge(self, now, is_vital):
        """Count a hedge if the budget allows it; return whether it does.

        :param is_vital: whether the answer fails without the hedge.
        """
        return self._try_withdraw(
            now, RETRY_RESERVE if is_vital else VITAL_RESERVE
        )

    def is_exhausted(self, now):
        """Return whether the budget allows no extra send."""
        self._current_bucket(now)
        return self._sends + 1 > self._allowed_sends(now)

    def is_idle(self, now):
        """Return whether the window is empty and the slack not reduced."""
        self._current_bucket(now)
        return (
            not self._requests
            and not self._sends
            and now >= self._full_slack_at
        )

    def _try_withdraw(self, now, reserve):
        bucket = self._current_bucket(now)
        if self._sends + 1 > self._allowed_sends(now) * (1.0 - reserve):
            return False
        bucket[2] += 1
        self._sends += 1
        return True

    def _allowed_sends(self, now):
        limits = self._limits
        slack = limits.slack * self._fraction
        if now < self._full_slack_at:
            slack *= 1.0 - (self._full_slack_at - now) / limits.window_s
        return RATIO_MARGIN * limits.ratio * self._requests + slack

    def _current_bucket(self, now):
        """Return the bucket of a time, after dropping expired ones.

        :returns: list of the bucket's number, its requests and its sends.
        """
        buckets = self._buckets
        number = now // BUCKET_S
        oldest = (now - self._limits.window_s) // BUCKET_S
        while buckets and buckets[0][0] < oldest:
            _, requests, sends = buckets.popleft()
            self._requests -= requests
            self._sends -= sends
        if not buckets or buckets[-1][0] != number:
            buckets.append([number, 0, 0])
        return buckets[-1]
