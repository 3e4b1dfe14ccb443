"""Counters, gauges and latency histograms of one instance."""

import collections

from hdrh import histogram

# Range and precision of the histograms.
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)


class Registry:
    """Named counters, gauges and histograms, rendered as Prometheus text.

    Names are given without the prefix ``savorycross_``.
    """

    def __init__(self):
        self.counters = collections.Counter()
        self.gauges = {}
        self._histograms = {}

    def count(self, name, n=1, **labels):
        """Add n to a counter."""
        self.counters[_format_series(name, labels)] += n

    def set_gauge(self, name, value, **labels):
        """Set a gauge to a value."""
        self.gauges[_format_series(name, labels)] = value

    def drop_gauges(self, name):
        """Remove the gauges of a name, whatever their labels."""
        prefix = _format_series(name, {}) + '{'
        self.gauges = {
            series: value
            for series, value in self.gauges.items()
            if not series.startswith(prefix)
        }

    def observe(self, name, seconds, **labels):
        """Record a duration in a histogram."""
        key = (name, tuple(sorted(labels.items())))
        durations = self._histograms.get(key)
        if durations is None:
            durations = make_histogram()
            self._histograms[key] = durations
        durations.record_value(to_microseconds(seconds))

    def render(self):
        """Return all series in Prometheus text format."""
        lines = [f'{k} {v}' for k, v in sorted(self.counters.items())]
        lines += [f'{k} {v}' for k, v in sorted(self.gauges.items())]
        for (name, labels), durations in sorted(self._histograms.items()):
            lines += _render_summary(name, dict(labels), durations)
        return '\n'.join(lines) + '\n'


def make_histogram():
    """Return an empty histogram of durations in microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def to_microseconds(seconds):
    """Convert seconds to microseconds, limited to a histogram's range."""
    return min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)


def _render_summary(name, labels, durations):
    lines = [
        f'{_format_series(name, labels | {"quantile": str(p / 100)})} '
        f'{durations.get_value_at_percentile(p) / 1e6}'
        for p in PERCENTILES
    ]
    lines.append(
        f'{_format_series(name + "_count", labels)} {durations.total_count}'
    )
    return lines


def _format_series(name, labels):
    if not labels:
        return 'savorycross_' + name
    label_pairs = ','.join(f'{k}="{v}"' for k, v in sorted(labels.items()))
    return f'savorycross_{name}{{{label_pairs}}}'
