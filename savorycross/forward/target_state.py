"""What this instance believes of a target."""

from savorycross.forward import backoff

EWMA_WEIGHT = 0.15
# What was measured before weighs half after this time, however few samples
# there are.
HALF_LIFE_S = 1.0
# A measured slowness is halved toward the usual after this time unused.
FORGET_S = 3.0
# Weight of one send in the rate of failures.
TRIAL_WEIGHT = 0.3
# Failures in a row after which a target is left out.
MAX_FAILURES = 2
EJECT_FIRST_S = 0.5
EJECT_MOST_S = 4.0
# Time for which a target is left alone whose address answers for another;
# its entry is gone or written anew by then.
MISDIRECTED_S = 10.0
# Slowness of one target in a sample is cut here.
MAX_SLOWNESS = 20.0
# Cold targets take no more than this in one second where no rate is given.
COLD_WINDOW_S = 1.0


class TargetState:
    """Load, latency and failures of one incarnation of a target.

    Slowness is latency by the usual latency of the same route, so that
    requests of different size can be compared.

    :param target: Target.
    :param pool: Pool of its connections.
    """

    def __init__(self, target, pool, now):
        self.target = target
        self.pool = pool
        self.outstanding = {}
        self.failures = 0
        self.ejected_until = 0.0
        self.misdirected_until = 0.0
        self.cold_until = 0.0
        self._slowness = 1.0
        self._sampled_at = now
        self._failure_rate = 0.0
        self._tried_at = now
        self._cold_sends = []

    def slowness(self, now):
        """Return latency by the usual one; old samples fade."""
        age = now - self._sampled_at
        return 1.0 + (self._slowness - 1.0) * 0.5 ** (age / FORGET_S)

    def suspicion(self, now):
        """Return how far the oldest send in flight is beyond the usual."""
        for started_at, typical_s in self.outstanding.values():
            return max(0.0, (now - started_at) / typical_s - 2.0)
        return 0.0

    def add_outstanding(self, attempt, now, typical_s):
        """Note a send.

        :param typical_s: usual latency of its route in seconds.
        """
        self.outstanding[attempt] = (now, typical_s)

    def remove_outstanding(self, attempt):
        """Note that a send is over."""
        self.outstanding.pop(attempt, None)

    def add_latency(self, ratio, now):
        """Add a measured latency by the usual one."""
        current = self.slowness(now)
        ratio = min(ratio, MAX_SLOWNESS)
        faded = 1.0 - 0.5 ** ((now - self._sampled_at) / HALF_LIFE_S)
        weight = max(EWMA_WEIGHT, faded)
        self._slowness = current + weight * (ratio - current)
        self._sampled_at = now

    def failure_rate(self, now):
        """Return the share of sends that failed lately."""
        age = now - self._tried_at
        return self._failure_rate * 0.5 ** (age / FORGET_S)

    def record_success(self, now):
        """Note an answer."""
        self.failures = 0
        self._add_trial(0.0, now)

    def record_failure(self, now):
        """Note a failure; return True if the target is now ejected."""
        self._add_trial(1.0, now)
        self.failures += 1
        if self.failures < MAX_FAILURES:
            return False
        self.ejected_until = now + backoff.exponential(
            EJECT_FIRST_S, EJECT_MOST_S, self.failures - MAX_FAILURES
        )
        return True

    def mark_misdirected(self, now):
        """Note that another target answers at the address."""
        self.misdirected_until = now + MISDIRECTED_S

    def is_ejected(self, now):
        """Whether the target is left out for its failures."""
        return now < self.ejected_until

    def _add_trial(self, value, now):
        current = self.failure_rate(now)
        self._failure_rate = current + TRIAL_WEIGHT * (value - current)
        self._tried_at = now

    def is_cold(self, now):
        """Whether the target bears little yet."""
        return now < self.cold_until

    def take_cold(self, now, limit):
        """Count a send to a cold target; return False beyond the limit.

        :param limit: sends in any second, or None for no bound.
        """
        if limit is None or not self.is_cold(now):
            return True
        since = now - COLD_WINDOW_S
        self._cold_sends = [t for t in self._cold_sends if t > since]
        if len(self._cold_sends) + 1 > limit:
            return False
        self._cold_sends.append(now)
        return True
