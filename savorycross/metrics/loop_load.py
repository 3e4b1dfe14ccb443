"""Measures how busy the event loop of a process is, and how late."""

import collections

import trio

# Weight of a new sample in the moving average.
SAMPLE_WEIGHT = 0.3
# Time for which a delay of the event loop counts.
LAG_WINDOW_S = 10.0


class LoopLoad(trio.abc.Instrument):
    """The part of the time in which the event loop does not wait.

    ``value`` is a moving average from 0 to 1. It is an instrument of trio,
    so it sees all work of the process' only thread, and the time for which
    the system does not let it run.

    :param now: callable that returns the time in seconds.
    """

    def __init__(self, now=trio.current_time):
        self._now = now
        self.value = 0.0
        self._waited_s = 0.0
        self._wait_began_at = None
        self._woke_at = None
        self._sampled_at = None
        self._longest_s = 0.0
        self._past_lags_s = 0.0, 0.0
        self._delays = collections.deque()

    @property
    def lag_s(self):
        """Seconds by which events have to wait now and again.

        The loop runs late while it works, or while the process is not
        allowed to run, for instance as its processor quota is used up. A
        delay that came once tells nothing of the next ones, so it is the
        second longest of those lately, each in another sample.
        """
        longest_s, second_s = self._past_lags_s
        return max(second_s, min(longest_s, self._longest_s))

    def before_io_wait(self, timeout):
        """Note when the loop begins to wait; called by trio."""
        now = self._now()
        if self._woke_at is not None:
            self._longest_s = max(self._longest_s, now - self._woke_at)
            self._woke_at = None
        self._wait_began_at = now

    def after_io_wait(self, timeout):
        """Count the time for which the loop waited; called by trio."""
        now = self._woke_at = self._now()
        if self._wait_began_at is None:
            return
        waited_s = now - self._wait_began_at
        self._waited_s += waited_s
        if waited_s - timeout > self._longest_s:
            self._longest_s = waited_s - timeout

    def sample(self, now):
        """Add the time since the previous sample to the moving average.

        :param now: runtime clock time in seconds.
        """
        self._delays.append((now, self._longest_s))
        self._longest_s = 0.0
        while now - self._delays[0][0] > LAG_WINDOW_S:
            self._delays.popleft()
        delays_s = sorted((d for _, d in self._delays), reverse=True)
        self._past_lags_s = delays_s[0], (*delays_s[1:2], 0.0)[0]
        if self._sampled_at is not None and now > self._sampled_at:
            elapsed_s = now - self._sampled_at
            busy = 1.0 - min(self._waited_s / elapsed_s, 1.0)
            self.value += SAMPLE_WEIGHT * (busy - self.value)
        self._sampled_at = now
        self._waited_s = 0.0
