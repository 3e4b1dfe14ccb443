"""What this instance knows of the load and health of a target."""

import collections
import math

from savorycross.forward import backoff
from savorycross.rate import limiter

# Lower bound on the weight of a new latency sample in the moving average.
MIN_SAMPLE_WEIGHT = 0.15
# After this time earlier samples weigh at most half, however few samples
# follow.
SAMPLE_HALF_LIFE_S = 1.0
# Without new samples, the deviation of the relative latency from 1 and the
# failure rate are halved in this time.
DECAY_HALF_LIFE_S = 3.0
# Weight of one send in the moving average of failures.
OUTCOME_WEIGHT = 0.3
# Failures in a row after which a target is ejected.
EJECTION_THRESHOLD = 2
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Time for which a target that accepted no connection several times counts as
# unreachable.
RECONNECT_INTERVAL_S = 0.25
# Time for which a target gets nothing after its address answered for
# another target; its entry is removed or rewritten within that time.
MISDIRECTED_S = 10.0
# Upper bound on one sample of the relative latency.
MAX_RELATIVE_LATENCY = 20.0
# The limit of sends to a cold target applies to any window of this length.
COLD_WINDOW_S = 1.0


class TargetState:
    """Load, latency and failures of one incarnation of a target.

    Relative latency is latency divided by the typical latency of the same
    route, so that requests of different size can be compared.

    ``outstanding`` maps each send in flight to the time of the send and
    the typical latency of its route in seconds, in the order of the sends;
    ``max_in_flight`` is the largest number of them. ``rate`` is the
    RateLimiter of the sends. ``is_leaving`` tells that the target has said
    in an answer that it is about to end, ``is_withheld`` that a roll-out
    keeps requests from its version. ``sends`` counts all sends, and
    ``offered_s`` is the sum of the typical latencies of their routes.
    ``sampled_at`` is the runtime clock time of the latest latency sample.

    :param target: Target.
    :param pool: Pool of its connections.
    :param now: runtime clock time in seconds.
    :param rate: RateLimiter that it had before, or None.
    """

    def __init__(self, target, pool, now, rate=None):
        self.target = target
        self.pool = pool
        self.outstanding = {}
        self.max_in_flight = math.inf
        self.failures = 0
        self._connect_failures = 0
        self.unreachable_until = 0.0
        self.ejected_until = 0.0
        self.misdirected_until = 0.0
        self.cold_until = 0.0
        self._relative_latency = 1.0
        # 0 until the first sample.
        self._uncapped_latency = 0.0
        self.sampled_at = now
        self.sends = 0
        self.offered_s = 0.0
        self._failure_rate = 0.0
        self._outcome_at = now
        self._recent_sends = collections.deque()
        self.is_leaving = False
        self.is_withheld = False
        self.paused_until = 0.0
        self.rate = rate or limiter.RateLimiter(target.id, now)

    def relative_latency(self, now):
        """Return the relative latency, which decays toward 1 when idle."""
        age = now - self.sampled_at
        return 1.0 + (self._relative_latency - 1.0) * 0.5 ** (
            age / DECAY_HALF_LIFE_S
        )

    def suspicion(self, now):
        """Return by how much the oldest send in flight is overdue.

        :returns: its age in typical latencies beyond two of them, at
            least 0.
        """
        for started_at, typical_s in self.outstanding.values():
            return max(0.0, (now - started_at) / typical_s - 2.0)
        return 0.0

    def add_outstanding(self, attempt, now, typical_s):
        """Add a send to those in flight.

        :param typical_s: typical latency of its route in seconds.
        """
        self.outstanding[attempt] = (now, typical_s)
        self.sends += 1
        self.offered_s += typical_s

    def remove_outstanding(self, attempt):
        """Remove a send from those in flight."""
        self.outstanding.pop(attempt, None)

    def add_latency(self, ratio, now):
        """Add a sample of the relative latency.

        :param ratio: latency divided by the typical latency of the route.
        """
        current = self.relative_latency(now)
        decay = 1.0 - 0.5 ** ((now - self.sampled_at) / SAMPLE_HALF_LIFE_S)
        weight = max(MIN_SAMPLE_WEIGHT, decay)
        uncapped = self._uncapped_latency or ratio
        self._uncapped_latency = uncapped + weight * (ratio - uncapped)
        ratio = min(ratio, MAX_RELATIVE_LATENCY)
        self._relative_latency = current + weight * (ratio - current)
        self.sampled_at = now

    def expect_latency_s(self):
        """Return the latency of the sends in flight in seconds.

        It has no upper bound, as that of the relative latency would make
        slow targets seem to do more than they can.

        :returns: 0 if there are none, or if no latency is known.
        """
        if not self.outstanding:
            return 0.0
        typical_s = sum(typical for _, typical in self.outstanding.values())
        return self._uncapped_latency * typical_s / len(self.outstanding)

    def estimate_rate(self):
        """Return how many sends end in a second, by Little's law.

        :returns: infinity if no latency is known.
        """
        if not self.outstanding:
            return 0.0
        latency_s = self.expect_latency_s()
        return len(self.outstanding) / latency_s if latency_s else math.inf

    def failure_rate(self, now):
        """Return the moving average of failures, from 0 to 1."""
        age = now - self._outcome_at
        return self._failure_rate * 0.5 ** (age / DECAY_HALF_LIFE_S)

    def record_success(self, now):
        """Record an answer, which ends a series of failures."""
        self.failures = 0
        self._connect_failures = 0
        self.unreachable_until = 0.0
        self._add_outcome(0.0, now)

    def record_failure(self, now, has_connected=True):
        """Record a failure and return whether the target is now ejected.

        Each further failure in a row doubles the time of the ejection.

        :param has_connected: False if no connection could be made.
        """
        self._connect_failures += not has_connected
        if self._connect_failures >= EJECTION_THRESHOLD:
            self.unreachable_until = now + RECONNECT_INTERVAL_S
        self._add_outcome(1.0, now)
        self.failures += 1
        if self.failures < EJECTION_THRESHOLD:
            return False
        self.ejected_until = now + backoff.exponential(
            INITIAL_EJECTION_S,
            MAX_EJECTION_S,
            self.failures - EJECTION_THRESHOLD,
        )
        return True

    @property
    def has_room(self):
        """Whether the target may get one more send now."""
        return (
            self.pool.has_room and len(self.outstanding) < self.max_in_flight
        )

    def mark_misdirected(self, now):
        """Record that another target answers at the address."""
        self.misdirected_until = now + MISDIRECTED_S

    def pause(self, until):
        """Record that the target wants nothing until a time."""
        self.paused_until = max(self.paused_until, until)

    def is_paused(self, now):
        """Return whether the target wants nothing now, as it has said."""
        return now < self.paused_until

    def is_ejected(self, now):
        """Return whether the target is ejected because of its failures."""
        return now < self.ejected_until

    @property
    def is_doubtful(self):
        """Whether it has accepted no connection since it was unreachable."""
        return self.unreachable_until > 0.0

    def is_unreachable(self, now):
        """Return whether the target accepts no connections, as far as known.

        It counts as reachable again after a short time, so that a call tries
        it.
        """
        return now < self.unreachable_until

    def _add_outcome(self, value, now):
        current = self.failure_rate(now)
        self._failure_rate = current + OUTCOME_WEIGHT * (value - current)
        self._outcome_at = now

    def is_cold(self, now):
        """Return whether the target is starting and takes little load."""
        return now < self.cold_until

    def extend_cold_period(self, until):
        """Record that the target is cold until a time at least."""
        self.cold_until = max(self.cold_until, until)

    def count_recent_sends(self, now):
        """Return the number of sends in the past second."""
        sends = self._recent_sends
        while sends and sends[0] <= now - COLD_WINDOW_S:
            sends.popleft()
        return len(sends)

    def record_send(self, now):
        """Record a send, which counts if the target is cold soon after."""
        self._recent_sends.append(now)
        self.count_recent_sends(now)
