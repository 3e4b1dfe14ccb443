"""How fast a route's services answer."""

from savorycross.relay import latency

HEDGE_PERCENTILE = 92.0
# Many slow targets spoil high quantiles, but hardly the median.
MAX_MEDIANS = 2.5
# A hedge is early enough if this many of its own high quantiles are left
# until the objective.
HEDGE_QUANTILES = 2.0
# Hedges go out between these shares of the route's objective.
EARLIEST_HEDGE = 0.12
LATEST_HEDGE = 0.45
# Time from the last part until the caller has the answer.
ANSWER_MARGIN_S = 0.008
REFRESH_S = 0.5
# Latency assumed while there are no samples, by the objective.
FIRST_USUAL = 0.2


class Pace:
    """Latencies of the requests of one route.

    :param objective_s: latency objective in seconds.
    """

    def __init__(self, objective_s):
        self._objective_s = objective_s
        self._window = latency.LatencyWindow()
        self._mean = latency.Ewma()
        self._delay_s = LATEST_HEDGE * objective_s
        self._refresh_at = 0.0
        self.longest_allowed_s = 0.0

    @property
    def usual_s(self):
        """The usual latency of one target in seconds."""
        if self._mean.value is None:
            return FIRST_USUAL * self._objective_s
        return max(self._mean.value, 0.001)

    def add(self, seconds, now):
        """Add the latency of an answer."""
        self._window.add(seconds, now)
        self._mean.add(min(seconds, 3 * self.usual_s))

    def hedge_delay(self, now):
        """Return seconds to wait before a second target is asked."""
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            found = self._window.percentile_s(HEDGE_PERCENTILE)
            if found is not None:
                median = self._window.percentile_s(50.0)
                found = min(found, MAX_MEDIANS * median)
                latest = self._objective_s - HEDGE_QUANTILES * found
                found = max(found, latest - ANSWER_MARGIN_S)
                low = EARLIEST_HEDGE * self._objective_s
                high = LATEST_HEDGE * self._objective_s
                self._delay_s = min(max(found, low), high)
        return self._delay_s

    def elapsed(self, allowed_s):
        """Return seconds since the caller's first try of a request.

        Callers allow the same time for each request, less what earlier
        tries took.

        :param allowed_s: seconds that the caller still waits.
        """
        if allowed_s is None:
            return 0.0
        self.longest_allowed_s = max(self.longest_allowed_s, allowed_s)
        return self.longest_allowed_s - allowed_s
