"""Percentiles and counts of the outcomes of queries."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Sample:
    """The outcome of one query on the paused clock.

    :param at: seconds since the start of the load.
    :param took_ms: milliseconds until the answer or the refusal.
    :param coverage: ratio of shards answered; 0 for a refusal.
    :param refused: error code of a refusal, or an empty text.
    """

    at: float
    took_ms: float
    coverage: float
    refused: str = ''


def percentile(values, percent):
    """Return a percentile of values, or None if there are none.

    >>> percentile([3, 1, 2], 50)
    2
    """
    ordered = sorted(values)
    if not ordered:
        return None
    index = min(int(len(ordered) * percent / 100), len(ordered) - 1)
    return ordered[index]


def summarise(samples):
    """Return p50, p99, p99.9, coverage and refusals of samples."""
    answered = [s for s in samples if not s.refused]
    latencies_ms = [s.took_ms for s in answered]
    coverages = [s.coverage for s in answered]
    total = max(len(answered), 1)
    return {
        'asked': len(samples),
        'answered': len(answered),
        'refused': len(samples) - len(answered),
        'p50_ms': _rounded(percentile(latencies_ms, 50)),
        'p99_ms': _rounded(percentile(latencies_ms, 99)),
        'p999_ms': _rounded(percentile(latencies_ms, 99.9)),
        'coverage_mean': round(sum(coverages) / total, 5),
        'below_full': round(sum(c < 1 for c in coverages) / total, 5),
    }


def good_per_second(samples):
    """Return the number of full answers, by second of the request."""
    if not samples:
        return []
    seconds = [0] * (int(max(s.at for s in samples)) + 1)
    for sample in samples:
        if sample.coverage >= 1:
            seconds[int(sample.at)] += 1
    return seconds


def _rounded(value):
    return None if value is None else round(value, 2)
