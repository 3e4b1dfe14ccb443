"""Latencies of a route and the hedge delay that follows from them."""

from savorycross.relay import latency

HEDGE_PERCENTILE = 92.0
# Bound on the high percentile as a multiple of the median, which many slow
# targets hardly change while they raise high percentiles.
MAX_MEDIAN_MULTIPLE = 2.5
# A hedge is early enough if the time from its send to the objective is this
# multiple of the high percentile.
HEDGE_PERCENTILE_MULTIPLE = 2.0
# Bounds of the hedge delay as shares of the route's latency objective.
EARLIEST_HEDGE_SHARE = 0.12
LATEST_HEDGE_SHARE = 0.45
# Time from the last reply until the caller has the answer: up to 3 ms each way
# between callers and instances, the handshake of a new connection, merging.
ANSWER_MARGIN_S = 0.013
HEDGE_DELAY_REFRESH_S = 0.5
# Latency assumed without samples, as a share of the latency objective.
INITIAL_TYPICAL_SHARE = 0.2
# An answer that takes longer than this multiple of the percentile is rare.
LONGEST_PERCENTILE = 99.0
LONGEST_MULTIPLE = 1.5


class RouteLatency:
    """Latency statistics of the requests of one route.

    ``longest_timeout_s`` is the longest timeout that a caller has sent.

    :param objective_s: latency objective in seconds.
    """

    def __init__(self, objective_s):
        self._objective_s = objective_s
        self._window = latency.LatencyWindow()
        self._mean = latency.Ewma()
        self._delay_s = LATEST_HEDGE_SHARE * objective_s
        self._refresh_at = 0.0
        self.longest_timeout_s = 0.0

    @property
    def typical_s(self):
        """Typical latency of one target in seconds, a moving average."""
        if self._mean.value is None:
            return INITIAL_TYPICAL_SHARE * self._objective_s
        return max(self._mean.value, 0.001)

    def add(self, seconds, now):
        """Add the latency of an answer.

        :param seconds: time from the send to the reply.
        :param now: runtime clock time in seconds.
        """
        self._window.add(seconds, now)
        self._mean.add(min(seconds, 3 * self.typical_s))

    def hedge_delay(self, now):
        """Return the seconds to wait before a hedge is sent."""
        if now >= self._refresh_at:
            self._refresh_at = now + HEDGE_DELAY_REFRESH_S
            percentile_s = self._window.percentile_s(HEDGE_PERCENTILE)
            if percentile_s is not None:
                median_s = self._window.percentile_s(50.0)
                percentile_s = min(
                    percentile_s, MAX_MEDIAN_MULTIPLE * median_s
                )
                latest_s = (
                    self._objective_s
                    - HEDGE_PERCENTILE_MULTIPLE * percentile_s
                )
                delay_s = max(percentile_s, latest_s - ANSWER_MARGIN_S)
                low_s = EARLIEST_HEDGE_SHARE * self._objective_s
                high_s = LATEST_HEDGE_SHARE * self._objective_s
                self._delay_s = min(max(delay_s, low_s), high_s)
        return self._delay_s

    def expect_longest_s(self):
        """Return the seconds in which nearly all answers arrive.

        It is the objective while too few answers are known.
        """
        percentile_s = self._window.percentile_s(LONGEST_PERCENTILE)
        if percentile_s is None:
            return self._objective_s
        return LONGEST_MULTIPLE * percentile_s

    def estimate_elapsed_s(self, caller_timeout_s):
        """Return the estimated seconds since the first try of a request.

        Callers are assumed to use one timeout for all requests of a route
        and to subtract the time that earlier tries of a request took. The
        longest timeout seen so far stands for the full one.

        :param caller_timeout_s: seconds that the caller still waits, or
            None if it is not known.
        """
        if caller_timeout_s is None:
            return 0.0
        self.longest_timeout_s = max(self.longest_timeout_s, caller_timeout_s)
        return self.longest_timeout_s - caller_timeout_s
