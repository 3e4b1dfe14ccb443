"""Adaptive concurrency limit and outlier ejection for one target."""

import enum

from savorycross.relay import job

WARM_STREAK = 5
REFUSAL_FACTOR = 0.7
REFUSAL_PAUSE_S = 0.01
EJECTION_THRESHOLD = 3
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 10.0


class Phase(enum.StrEnum):
    """Whether a target's caches are known to be warm or cold."""

    UNKNOWN = 'unknown'
    COLD = 'cold'
    WARM = 'warm'


class ConcurrencyLimiter:
    """Limits the requests in flight at one target.

    The limit is ``cold_slots`` until the target has answered ``WARM_STREAK``
    requests in a row without calling itself cold; then it rises by one with
    each full round of answers, up to ``slots``. A refusal lowers it; a lost
    connection or a new boot identity returns it to the cold limit at once.
    Repeated failures eject the target, each time for longer.

    :param slots: requests that the target runs at once.
    :param cold_slots: requests that it can run at once in a cold start.
    """

    def __init__(self, slots, cold_slots):
        self.slots = slots
        self.cold_slots = min(cold_slots, slots)
        self.phase = Phase.UNKNOWN
        self.boot = ''
        self.in_flight = 0
        self._limit = float(self.cold_slots)
        self._warm_streak = 0
        self._failures = 0
        self._ejection_s = MIN_EJECTION_S
        self._blocked_until = 0.0

    @property
    def limit(self):
        """Number of requests that may be in flight now."""
        return int(self._limit)

    @property
    def is_warm(self):
        """Whether the target can be sent to without agreed ownership."""
        return self.phase is Phase.WARM

    def blocked_until(self):
        """Return the time until which no request is sent to the target."""
        return self._blocked_until

    def has_room(self, now):
        """Return whether one more request may be sent."""
        return self.in_flight < self.limit and now >= self._blocked_until

    def start(self):
        """Count a request as in flight."""
        self.in_flight += 1

    def finish(self, result, now):
        """Count a request as ended and adjust the limit to its result.

        :param result: AttemptResult.
        :param now: runtime clock, seconds.
        """
        self.in_flight -= 1
        if result.status in (job.Status.LOST, job.Status.UNSENT):
            self.reset_to_cold()
            self._record_failure(now)
            return
        self.observe(result.boot, result.warm)
        if result.status is job.Status.REFUSED:
            self._record_refusal(now)
        elif result.status is job.Status.TIMEOUT:
            self._record_failure(now)
        elif result.status in (job.Status.OK, job.Status.VERSION_GONE):
            self._record_success()

    def observe(self, boot, warm):
        """Update the phase from the state that the target reports.

        A target that says that it is cold is believed at once; one that says
        that it is warm has to answer ``WARM_STREAK`` requests first.

        :param boot: identity of the target's process, or an empty string.
        :param warm: the target's own statement, or None.
        """
        if boot and boot != self.boot:
            if self.boot:
                self.reset_to_cold()
            self.boot = boot
        if warm is False and self.phase is not Phase.COLD:
            self.reset_to_cold()
        if warm is False:
            self._warm_streak = 0

    def adopt_warm(self, boot, limit):
        """Treat the target as warm because its former owner reported it so.

        :param boot: identity of the target's process.
        :param limit: requests that may be in flight at first.
        """
        self.boot = boot
        self.phase = Phase.WARM
        self._limit = float(max(1, min(limit, self.slots)))

    def reset_to_cold(self):
        """Return to the cold phase and its limit."""
        self.phase = Phase.COLD
        self._limit = float(self.cold_slots)
        self._warm_streak = 0

    def reset(self):
        """Return to the state of a target about which nothing is known."""
        self.reset_to_cold()
        self.phase = Phase.UNKNOWN
        self.boot = ''

    def _record_success(self):
        self._failures = 0
        self._ejection_s = MIN_EJECTION_S
        if self.phase is Phase.WARM:
            self._limit = min(self._limit + 1 / self._limit, self.slots)
            return
        self._warm_streak += 1
        if self._warm_streak >= WARM_STREAK:
            self.phase = Phase.WARM

    def _record_refusal(self, now):
        self._warm_streak = 0
        self._limit = max(1.0, self._limit * REFUSAL_FACTOR)
        self._blocked_until = max(self._blocked_until, now + REFUSAL_PAUSE_S)

    def _record_failure(self, now):
        self._warm_streak = 0
        self._failures += 1
        if self._failures < EJECTION_THRESHOLD:
            return
        self._blocked_until = now + self._ejection_s
        self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)
