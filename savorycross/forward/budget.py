"""This instance's share of the extra sends to a service."""

import collections

# Sends and requests are counted in slots of this length.
SLOT_S = 0.5
# Requests may be spread unevenly over the window; the ratio is taken with
# this factor.
RATIO_MARGIN = 0.9
# Part of the share that hedges leave to retries.
RETRY_RESERVE = 0.15
# Part of the share that stays for hedges without which an answer fails.
VITAL_RESERVE = 0.5


class ExtraBudget:
    """Bounds extra sends in a sliding window.

    In any window this instance makes at most ``ratio`` times the requests
    that it counted there, plus its share of the slack. A process that took
    the place of another is given the slack only little by little, as its
    predecessor may have spent it.

    :param limits: ExtraSendLimits of all instances together.
    :param now: runtime clock time.
    :param is_successor: whether another process may have spent the share.
    """

    def __init__(self, limits, now, is_successor=False):
        self._limits = limits
        self._instances = 1
        self._full_at = now + limits.window_s if is_successor else now
        self._slots = collections.deque()
        self._requests = 0
        self._sends = 0

    def set_limits(self, limits):
        """Set the ExtraSendLimits of all instances together."""
        self._limits = limits

    def set_instances(self, n):
        """Set the number of instances that share the slack."""
        self._instances = max(n, 1)

    def earn(self, now):
        """Count a request for the service."""
        self._slot(now)[1] += 1
        self._requests += 1

    def take_retry(self, now):
        """Count a send after a failure, if it is allowed."""
        return self._take(now, 0.0)

    def take_hedge(self, now, is_vital):
        """Count a second send, if it is allowed.

        :param is_vital: whether the answer fails without it.
        """
        return self._take(now, RETRY_RESERVE if is_vital else VITAL_RESERVE)

    def is_spent(self, now):
        """Whether no extra send is allowed."""
        self._slot(now)
        return self._sends + 1 > self._allowed(now)

    def is_idle(self, now):
        """Whether the window is empty and holds nothing back."""
        self._slot(now)
        return not self._requests and not self._sends and now >= self._full_at

    def _take(self, now, reserve):
        slot = self._slot(now)
        if self._sends + 1 > self._allowed(now) * (1.0 - reserve):
            return False
        slot[2] += 1
        self._sends += 1
        return True

    def _allowed(self, now):
        limits = self._limits
        slack = limits.slack / self._instances
        if now < self._full_at:
            slack *= 1.0 - (self._full_at - now) / limits.window_s
        return RATIO_MARGIN * limits.ratio * self._requests + slack

    def _slot(self, now):
        """Return the slot of a time, and forget those out of the window."""
        slots = self._slots
        number = now // SLOT_S
        oldest = (now - self._limits.window_s) // SLOT_S
        while slots and slots[0][0] < oldest:
            _, requests, sends = slots.popleft()
            self._requests -= requests
            self._sends -= sends
        if not slots or slots[-1][0] != number:
            slots.append([number, 0, 0])
        return slots[-1]
