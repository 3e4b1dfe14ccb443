"""Latency statistics of targets: recent percentiles and an average."""

from savorycross.metrics import registry

WINDOW_S = 5.0
MIN_SAMPLES = 20
EWMA_WEIGHT = 0.2


class LatencyWindow:
    """Latency percentiles over recent, fixed periods of ``WINDOW_S``.

    The percentiles are those of the last full period, or of the current one
    while the last one has fewer than ``MIN_SAMPLES``.
    """

    def __init__(self):
        self._current = registry.make_histogram()
        self._previous = registry.make_histogram()
        self._rotate_at = 0.0
        self._cached = {}

    def add(self, seconds, now):
        """Add a duration.

        :param seconds: the duration.
        :param now: runtime clock, seconds.
        """
        if now >= self._rotate_at:
            self._previous = self._current
            self._current = registry.make_histogram()
            self._rotate_at = now + WINDOW_S
            self._cached.clear()
        self._current.record_value(registry.to_microseconds(seconds))

    def percentile_s(self, percent):
        """Return a percentile in seconds, or None while samples are too few.

        :param percent: 0 to 100.
        """
        seconds = self._cached.get(percent)
        if seconds is None:
            seconds = self._compute(percent)
            if seconds is not None and self._previous.total_count:
                self._cached[percent] = seconds
        return seconds

    def _compute(self, percent):
        histogram = self._previous
        if histogram.total_count < MIN_SAMPLES:
            histogram = self._current
        if histogram.total_count < MIN_SAMPLES:
            return None
        return histogram.get_value_at_percentile(percent) / 1e6


class Ewma:
    """An exponentially weighted moving average of durations."""

    def __init__(self):
        self.value = None

    def add(self, seconds):
        """Add a duration in seconds."""
        if self.value is None:
            self.value = seconds
        else:
            self.value += EWMA_WEIGHT * (seconds - self.value)

    def add_lower_bound(self, seconds):
        """Add a lower bound of a duration if it exceeds the average.

        :param seconds: time that has passed without an answer.
        """
        if self.value is None or seconds > self.value:
            self.add(seconds)
