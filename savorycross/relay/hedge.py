"""Policies for hedged requests: when to ask a second replica."""

import typing

HEDGE_PERCENTILE = 99.0
MAX_MEDIAN_MULTIPLE = 4.0
MIN_DELAY_S = 0.002


class Hedging(typing.Protocol):
    """Decides how long to wait for an answer before a hedge is sent."""

    def delay(self, window) -> float | None:
        """Return the seconds to wait, or None for no hedge.

        :param window: the LatencyWindow of the replica set's service.
        """


class NoHedging:
    """Never sends a hedge."""

    def delay(self, window):
        """Return None."""
        return None


class FixedHedging:
    """Sends a hedge after a fixed delay.

    :param seconds: delay in seconds.
    """

    def __init__(self, seconds):
        self._seconds = seconds

    def delay(self, window):
        """Return the fixed delay in seconds."""
        return self._seconds


class QuantileHedging:
    """Sends a hedge after a percentile of the recent latency.

    The delay is at most ``MAX_MEDIAN_MULTIPLE`` times the median, because a
    slow replica in each set raises high percentiles before the dispatcher
    avoids it.

    Source of the method: Dean and Barroso, "The Tail at Scale", 2013.
    """

    def __init__(self, percentile=HEDGE_PERCENTILE):
        self._percentile = percentile

    def delay(self, window):
        """Return the delay in seconds, or None while samples are too few."""
        median = window.percentile_s(50.0)
        if median is None:
            return None
        delay_s = min(
            window.percentile_s(self._percentile), median * MAX_MEDIAN_MULTIPLE
        )
        return max(delay_s, MIN_DELAY_S)
