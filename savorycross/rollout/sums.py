"""Sums of the answers of old and new targets.

Load pattern: the answers of one version reach hundreds of instances, a few
each. Latencies are counted in buckets with the same bounds on all instances,
so that sums of counts describe the answers of all.

Source of the method: buckets with a constant ratio of their bounds, which can
be merged (Masson, Rim and Lee, "DDSketch", PVLDB 12(12), 2019).
"""

import collections
import math

# Bounds of the buckets are powers of the fourth root of 2, in milliseconds.
BUCKETS_PER_DOUBLING = 4
MAX_BUCKET = 64


def find_bucket(seconds):
    """Return the number of the bucket of a latency.

    >>> find_bucket(0.001), find_bucket(0.002)
    (0, 4)
    """
    ms = max(seconds * 1000, 1.0)
    return min(int(BUCKETS_PER_DOUBLING * math.log2(ms)), MAX_BUCKET)


def find_bound(seconds):
    """Return the lowest bucket whose latencies all exceed a latency."""
    ms = max(seconds * 1000, 1.0)
    return math.ceil(BUCKETS_PER_DOUBLING * math.log2(ms))


def lower_bound_s(bucket):
    """Return the lowest latency of a bucket in seconds."""
    return 0.001 * 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class Sums:
    """Counts of the answers of one version on one route.

    ``answers`` counts all answers, ``failures`` those that failed and
    ``latencies`` the others by the bucket of their latency.
    """

    def __init__(self, answers=0, failures=0, latencies=()):
        self.answers = answers
        self.failures = failures
        self.latencies = collections.Counter(dict(latencies))

    def add_answer(self, seconds, has_failed):
        """Count an answer.

        :param seconds: its latency.
        """
        self.answers += 1
        if has_failed:
            self.failures += 1
        else:
            self.latencies[find_bucket(seconds)] += 1

    def add(self, other):
        """Add other Sums."""
        self.answers += other.answers
        self.failures += other.failures
        self.latencies.update(other.latencies)

    @property
    def successes(self):
        """Number of answers with a latency."""
        return self.answers - self.failures

    def count_slow(self, bucket):
        """Return the number of latencies in a bucket and above."""
        return sum(n for b, n in self.latencies.items() if b >= bucket)

    def quantile_s(self, part):
        """Return a quantile of the latencies in seconds, rounded up.

        :returns: 0 if there are none.
        """
        rank = part * self.successes
        for bucket in sorted(self.latencies):
            rank -= self.latencies[bucket]
            if rank <= 0:
                return lower_bound_s(bucket + 1)
        return 0.0
