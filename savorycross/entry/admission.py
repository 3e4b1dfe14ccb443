"""Admission control: which requests an entry accepts."""

import collections
import dataclasses

from savorycross import errors

PRIORITY_COUNT = 4
INITIAL_LIMIT = 64.0
MIN_LIMIT = 2.0
MAX_LIMIT = 2048.0
DECREASE_FACTOR = 0.9
DECREASE_INTERVAL_S = 0.05
MAX_WAIT_RATIO = 0.1
FAIR_SHARE_THRESHOLD = 0.5
MIN_TIMEOUT_RATIO = 0.5
SLOWER_SAMPLE_WEIGHT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request in progress.

    :param started_at: runtime clock, seconds.
    :param timeout_s: time from start to deadline.
    """

    workload: str
    priority: int
    caller: str
    started_at: float
    timeout_s: float


class AdmissionController:
    """Limits the number of requests in progress for each priority.

    Priority 0 is the highest. The limit of a priority counts the requests of
    that priority and of all higher ones. Additive increase, multiplicative
    decrease (Chiu and Jain, 1989) adapts the limits: when shards wait for a
    target longer than ``MAX_WAIT_RATIO`` of the request's timeout, the limit
    of the priority falls together with those of all lower priorities;
    otherwise it rises.
    """

    def __init__(self):
        self._limits = [INITIAL_LIMIT] * PRIORITY_COUNT
        self._last_decreases = [float('-inf')] * PRIORITY_COUNT
        self._counts = [0] * PRIORITY_COUNT
        self._caller_counts = collections.Counter()
        self._typical_latencies_s = {}

    @property
    def in_progress(self):
        """Number of requests in progress."""
        return sum(self._counts)

    def limit(self, priority):
        """Return how many requests may be in progress up to a priority."""
        return int(self._limits[priority])

    def admit(self, workload, caller, timeout_s, now):
        """Return an AdmittedRequest, to be given to ``finish`` at its end.

        :param workload: Workload of the request.
        :param caller: identity of the caller, for fair sharing.
        :param timeout_s: seconds until the request's deadline.
        :param now: runtime clock, seconds.
        :raises DeadlineInfeasibleError: if the timeout is shorter than
            ``MIN_TIMEOUT_RATIO`` of the workload's typical latency.
        :raises OverloadedError: if a limit on requests in progress is
            reached.
        """
        typical_s = self._typical_latencies_s.get(workload.name, 0.0)
        if timeout_s < typical_s * MIN_TIMEOUT_RATIO:
            raise errors.DeadlineInfeasibleError(
                f'deadline of {timeout_s * 1000:.0f} ms is too short; '
                f'workload {workload.name} takes {typical_s * 1000:.0f} ms'
            )
        priority = workload.priority
        count = sum(self._counts[: priority + 1])
        if count >= self.limit(priority):
            raise errors.OverloadedError(f'{count} requests in progress')
        self._check_fair_share(caller, priority)
        self._counts[priority] += 1
        self._caller_counts[caller, priority] += 1
        return AdmittedRequest(workload.name, priority, caller, now, timeout_s)

    def _check_fair_share(self, caller, priority):
        """Limit a caller to an equal share once a priority fills up."""
        limit = self._limits[priority]
        if self._counts[priority] < limit * FAIR_SHARE_THRESHOLD:
            return
        active_callers = {
            c for c, p in self._caller_counts if p == priority
        } | {caller}
        count = self._caller_counts[caller, priority]
        if count >= max(1.0, limit / len(active_callers)):
            raise errors.OverloadedError(
                f'caller {caller} has {count} requests in progress'
            )

    def finish(self, admitted, wait_s, succeeded, now):
        """Remove a request from those in progress, and adapt the limits.

        :param admitted: AdmittedRequest.
        :param wait_s: longest time in seconds that a shard waited for a
            target.
        :param succeeded: whether the request was answered.
        :param now: runtime clock, seconds.
        """
        key = (admitted.caller, admitted.priority)
        self._counts[admitted.priority] -= 1
        self._caller_counts[key] -= 1
        if self._caller_counts[key] <= 0:
            del self._caller_counts[key]
        if succeeded:
            self._update_typical_latency(admitted, now)
        if wait_s > admitted.timeout_s * MAX_WAIT_RATIO:
            self._decrease(admitted.priority, now)
        else:
            self._increase(admitted.priority)

    def _update_typical_latency(self, admitted, now):
        """Follow faster answers at once and slower ones gradually."""
        latency_s = now - admitted.started_at
        typical_s = self._typical_latencies_s.get(admitted.workload, latency_s)
        weight = 1.0 if latency_s < typical_s else SLOWER_SAMPLE_WEIGHT
        self._typical_latencies_s[admitted.workload] = typical_s + weight * (
            latency_s - typical_s
        )

    def _increase(self, priority):
        """Raise the limit of a priority if at least half of it is in use."""
        in_use = sum(self._counts[: priority + 1]) + 1
        if in_use * 2 < self._limits[priority]:
            return
        raised = self._limits[priority] + 1 / self._limits[priority]
        self._limits[priority] = min(raised, MAX_LIMIT)

    def _decrease(self, priority, now):
        """Lower the limits of a priority and of all lower priorities."""
        if now < self._last_decreases[priority] + DECREASE_INTERVAL_S:
            return
        for affected in range(priority, PRIORITY_COUNT):
            self._last_decreases[affected] = now
            lowered = self._limits[affected] * DECREASE_FACTOR
            self._limits[affected] = max(lowered, MIN_LIMIT)
