"""Scheduling of the requests to one replica set by its owner.

The module does no input or output: events and the current time are passed
in, and the actions to carry out are returned.
"""

import dataclasses
import heapq
import itertools

from savorycross.membership import lease
from savorycross.relay import budget
from savorycross.relay import job as jobs
from savorycross.relay import queue
from savorycross.relay import replica as replicas
from savorycross.relay import stated_rates

SLOW_FACTOR = 1.5
UNANSWERED_FACTOR = 3.0
COLD_ATTEMPT_S = lease.COLD_ATTEMPT_S


@dataclasses.dataclass(slots=True)
class _PendingJob:
    """A job that is queued or has attempts in flight.

    :param queued_at: runtime clock, seconds.
    :param waited_s: seconds in the queue before the first attempt.
    :param attempts: ids of the attempts in flight.
    :param tried: names of the targets that got an attempt.
    """

    job: jobs.Job
    queued_at: float
    waited_s: float = 0.0
    attempts: set = dataclasses.field(default_factory=set)
    tried: frozenset = frozenset()
    is_queued: bool = True
    is_finished: bool = False


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A request in flight; it holds a slot until its result is known.

    :param started_at: runtime clock, seconds.
    :param is_probe: whether the request is a copy sent to an idle replica.
    """

    attempt_id: int
    pending: _PendingJob
    replica: replicas.Replica
    started_at: float
    is_probe: bool = False


class Dispatcher:
    """Dispatches the jobs of one replica set to its targets.

    :param name: name of the replica set.
    :param targets: declared Targets of the replica set.
    :param policy: a relay Policy.
    :param extra_budget: the ExtraLoadBudget of this instance.
    :param may_send_cold: callable of a target's name and the time; returns
        whether ownership is certain, so that the target may be sent to in
        a cold start, and at the whole rate that it states.
    :param ids: iterator of attempt ids, unique on this instance.
    """

    def __init__(
        self, name, targets, policy, extra_budget, may_send_cold, ids=None
    ):
        self.name = name
        self.replicas = {
            t.name: replicas.Replica(t, policy.share) for t in targets
        }
        self._policy = policy
        self._budget = extra_budget
        self._may_send_cold = may_send_cold
        self._rates = stated_rates.StatedRates(may_send_cold)
        self._ids = ids or itertools.count(1)
        self._queue = queue.JobQueue()
        self._pending_jobs = {}
        self._attempts = {}
        self._timers = []
        self._window = policy.make_window()

    @property
    def queued_count(self):
        """Number of jobs that wait for a replica."""
        return len(self._queue)

    @property
    def in_flight(self):
        """Number of attempts that hold a slot."""
        return len(self._attempts)

    @property
    def has_warm_replica(self):
        """Whether a target can take requests without agreed ownership."""
        return any(
            r.is_open and r.limiter.is_warm for r in self.replicas.values()
        )

    def next_timer_at(self):
        """Return the runtime clock time of the next timer, or None."""
        return self._timers[0][0] if self._timers else None

    def submit(self, job, now):
        """Queue a job, or finish it at once if it cannot succeed.

        :returns: list of actions to carry out.
        """
        pending = _PendingJob(job, queued_at=now)
        if self._is_snapshot_gone(job):
            return [self._finish(pending, jobs.Cause.VERSION_GONE, ran=False)]
        if self._would_miss_deadline(job, now) or self._exceeds_rates(
            job, now
        ):
            return [self._finish(pending, jobs.Cause.OVERLOADED, ran=False)]
        self._pending_jobs[job.job_id] = pending
        self._queue.push(job)
        self._set_timer(job.deadline, ('deadline', job.job_id))
        return self._dispatch(now)

    def handle_result(self, attempt_id, result, now):
        """Handle the result of an attempt.

        :param result: AttemptResult.
        :returns: list of actions to carry out.
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        attempt.pending.attempts.discard(attempt_id)
        attempt.replica.limiter.finish(result, now)
        self._rates.record_result(
            attempt.replica, result, attempt.started_at, now
        )
        if result.status is jobs.Status.VERSION_GONE:
            attempt.replica.drop_snapshot(attempt.pending.job)
        self._record_latency(attempt, result, now)
        actions = []
        if not attempt.pending.is_finished:
            actions = self._finish_or_retry(attempt, result, now)
        return actions + self._dispatch(now)

    def cancel(self, job_id, now):
        """Cancel a job; its attempts hold their slots until they end.

        :returns: list of actions to carry out.
        """
        pending = self._pending_jobs.get(job_id)
        if pending is None:
            return []
        return self._abort(pending, jobs.Cause.CANCELLED) + self._dispatch(now)

    def run_due_timers(self, now):
        """Run the timers that are due.

        :returns: list of actions to carry out.
        """
        actions = []
        while self._timers and self._timers[0][0] <= now:
            kind, key = heapq.heappop(self._timers)[2]
            if kind == 'hedge':
                actions += self._hedge(key, now)
            elif kind == 'deadline':
                actions += self._expire(key)
        return actions + self._dispatch(now)

    def dispatch_queued(self, now):
        """Dispatch queued jobs after a change of states or of ownership.

        :returns: list of actions to carry out.
        """
        return self._dispatch(now)

    def update_inventory(self, item, sent_at, now):
        """Apply an inventory that a target has sent to this instance.

        :param item: TargetInventory.
        :param sent_at: runtime clock time at which it was asked for.
        :returns: list of actions to carry out.
        """
        replica = self.replicas[item.target]
        replica.update_inventory(item)
        self._rates.record_statement(replica, item.rate_per_s, sent_at, now)
        return self._dispatch(now)

    def adopt_rate(self, replica, rate_per_s, now):
        """Adopt the rate of a target that a peer has published.

        :param replica: Replica of the target.
        """
        self._rates.adopt(replica, rate_per_s, now)

    def count_request(self, target, now):
        """Count a request to a target that is not an attempt of a job.

        :param target: name of the target.
        """
        replica = self.replicas.get(target)
        if replica is not None:
            self._rates.count_request(replica, now)

    def check_interval_s(self, target, now):
        """Return how long to wait between requests of a target's inventory.

        :returns: seconds; 0 if the target states no limit.
        """
        replica = self.replicas.get(target)
        if replica is None:
            return 0.0
        return self._rates.check_interval_s(replica, now)

    def update_targets(self, declared):
        """Replace the declared targets; unchanged ones keep their state.

        :param declared: map of target name to Target.
        """
        updated = {}
        for name, target in declared.items():
            replica = self.replicas.get(name)
            if replica is None or not replica.matches(target):
                replica = replicas.Replica(target, self._policy.share)
            replica.target = target
            updated[name] = replica
        self.replicas = updated

    def abort_queued(self):
        """Abort all queued jobs, so that another owner can take them.

        :returns: list of actions to carry out.
        """
        pending_jobs = [p for p in self._pending_jobs.values() if p.is_queued]
        return [
            action
            for pending in pending_jobs
            for action in self._abort(pending, jobs.Cause.OWNER_LOST)
        ]

    def cancel_attempts_at(self, target):
        """Return Cancel actions for the repeatable attempts at a target."""
        return [
            jobs.Cancel(a.attempt_id, target)
            for a in self._attempts.values()
            if a.replica.name == target and a.pending.job.repeatable
        ]

    def _dispatch(self, now):
        """Start queued jobs while a replica has a free slot."""
        actions = []
        has_progressed = True
        while has_progressed and len(self._queue):
            has_progressed = False
            for job, exclude in self._queue.heads():
                if self._is_snapshot_gone(job):
                    actions += self._abort(
                        self._pending_jobs[job.job_id], jobs.Cause.VERSION_GONE
                    )
                    has_progressed = True
                    continue
                replica = self._select_replica(job, exclude, now)
                if replica is None:
                    continue
                self._queue.pop(job)
                actions += self._start_job(
                    self._pending_jobs[job.job_id], replica, now
                )
                has_progressed = True
        if len(self._queue):
            self._set_unblock_timer(now)
        return actions

    def _set_unblock_timer(self, now):
        """Set a timer for the earliest time at which a replica may get work.

        That is the end of its pause, or when its rate allows a request.
        """
        times = [r.limiter.blocked_until() for r in self.replicas.values()]
        times += [
            self._rates.next_send_at(r, now)
            for r in self.replicas.values()
            if r.is_open
        ]
        times = [when for when in times if when > now]
        if times:
            self._set_timer(min(times), ('unblock', None))

    def _select_replica(self, job, exclude, now):
        """Return the replica for a job, or None if the job has to wait.

        :param exclude: names of targets to avoid if others are eligible.
        """
        eligible = self._list_eligible(job, exclude, now)
        if not eligible and exclude:
            eligible = self._list_eligible(job, frozenset(), now)
        if not eligible:
            return None
        selected = self._policy.replica_selector.select(eligible)
        if self._policy.avoids_slow and self._should_wait(selected, job):
            return None
        return selected

    def _list_eligible(self, job, exclude, now, is_extra=False):
        """Return the replicas that may get a job now.

        :param is_extra: whether the job is at another replica already.
        """
        eligible = []
        for replica in self.replicas.values():
            if replica.name in exclude or not replica.is_open:
                continue
            if not replica.limiter.has_room(now) or not replica.holds(job):
                continue
            is_warm = replica.limiter.is_warm
            if not is_warm and not self._may_send_cold(replica.name, now):
                continue
            if not self._rates.may_send(replica, now, is_extra):
                continue
            eligible.append(replica)
        return eligible

    def _should_wait(self, selected, job):
        """Return whether waiting for a faster replica saves time."""
        if selected.latency.value is None:
            return False
        others = [
            r
            for r in self.replicas.values()
            if r is not selected
            and r.is_open
            and r.limiter.is_warm
            and r.limiter.in_flight
            and r.latency.value is not None
            and r.holds(job)
        ]
        if not others:
            return False
        best = min(others, key=lambda r: r.latency.value)
        wait = best.latency.value * (1 + len(self._queue) / best.limiter.limit)
        return selected.latency.value > SLOW_FACTOR * wait

    def _start_job(self, pending, replica, now):
        is_first = not pending.tried
        if is_first:
            self._budget.deposit()
            pending.waited_s = now - pending.queued_at
        pending.is_queued = False
        actions = [self._start_attempt(pending, replica, now)]
        delay = self._policy.hedging.delay(self._window)
        if pending.job.repeatable and is_first and delay is not None:
            self._set_timer(now + delay, ('hedge', pending.job.job_id))
        if is_first:
            actions += self._probe_idle_replica(pending, now)
        return actions

    def _start_attempt(self, pending, replica, now, is_probe=False):
        attempt_id = next(self._ids)
        attempt = _Attempt(attempt_id, pending, replica, now, is_probe)
        self._attempts[attempt_id] = attempt
        pending.attempts.add(attempt_id)
        pending.tried = pending.tried | {replica.name}
        replica.limiter.start()
        self._rates.count_attempt(replica, now)
        replica.last_sent_at = now
        if replica.limiter.is_warm:
            boot, ends_at = replica.limiter.boot, pending.job.deadline
        else:
            boot, ends_at = '', min(pending.job.deadline, now + COLD_ATTEMPT_S)
        return jobs.Send(attempt_id, replica.name, pending.job, boot, ends_at)

    def _probe_idle_replica(self, pending, now):
        """Send a copy of a job to a replica that has been idle for long."""
        if not pending.job.repeatable or not self._policy.probes:
            return []
        for replica in self._list_eligible(
            pending.job, pending.tried, now, is_extra=True
        ):
            if not replica.is_due_for_probe(now):
                continue
            purpose = budget.Purpose.WARMING
            if replica.limiter.is_warm:
                purpose = budget.Purpose.PROBE
            if not self._budget.try_withdraw(purpose):
                return []
            return [self._start_attempt(pending, replica, now, is_probe=True)]
        return []

    def _hedge(self, job_id, now):
        pending = self._pending_jobs.get(job_id)
        if pending is None or pending.is_finished or pending.is_queued:
            return []
        eligible = self._list_eligible(
            pending.job, pending.tried, now, is_extra=True
        )
        if not eligible or not self._budget.try_withdraw(budget.Purpose.HEDGE):
            return []
        return [
            self._start_attempt(
                pending, self._policy.replica_selector.select(eligible), now
            )
        ]

    def _finish_or_retry(self, attempt, result, now):
        """Finish or retry the job of an attempt that has ended."""
        pending = attempt.pending
        if result.status is jobs.Status.OK:
            return self._succeed(pending, result)
        if pending.attempts or pending.is_queued:
            return []
        if result.status in jobs.NOT_RUN_STATUSES:
            return self._retry(pending, result, now)
        if not pending.job.repeatable:
            return [self._finish(pending, jobs.Cause.FAILED, ran=None)]
        return self._retry(pending, result, now)

    def _succeed(self, pending, result):
        done = self._finish(pending, None, body=result.body)
        return [done, *self._cancel_attempts(pending)]

    def _retry(self, pending, result, now):
        if self._is_snapshot_gone(pending.job):
            return [self._finish(pending, jobs.Cause.VERSION_GONE, ran=False)]
        if now >= pending.job.deadline:
            return [self._finish(pending, jobs.Cause.DEADLINE, ran=False)]
        if self._exceeds_rates(pending.job, now):
            return [self._finish(pending, jobs.Cause.OVERLOADED, ran=False)]
        was_sent = result.status is not jobs.Status.UNSENT
        if was_sent and not self._budget.try_withdraw(budget.Purpose.RETRY):
            is_gone = result.status is jobs.Status.VERSION_GONE
            cause = (
                jobs.Cause.VERSION_GONE if is_gone else jobs.Cause.OVERLOADED
            )
            return [self._finish(pending, cause, ran=False)]
        pending.is_queued = True
        self._queue.push(pending.job, exclude=pending.tried)
        return []

    def _is_snapshot_gone(self, job):
        """Return whether no target holds the job's snapshot any more."""
        return not any(r.holds(job) for r in self.replicas.values())

    def _expire(self, job_id):
        pending = self._pending_jobs.get(job_id)
        if pending is None or pending.is_finished:
            return []
        return self._abort(pending, jobs.Cause.DEADLINE)

    def _abort(self, pending, cause):
        """Finish a job early and cancel its attempts in flight.

        Attempts of a job that is not repeatable are not cancelled.
        """
        if pending.is_queued:
            self._queue.discard(pending.job)
        was_sent = bool(pending.attempts)
        ran = None if was_sent else False
        if not pending.job.repeatable and was_sent:
            return [self._finish(pending, cause, ran=ran)]
        done = self._finish(pending, cause, ran=ran)
        return [done, *self._cancel_attempts(pending)]

    def _cancel_attempts(self, pending):
        return [
            jobs.Cancel(i, self._attempts[i].replica.name)
            for i in sorted(pending.attempts)
            if not self._attempts[i].is_probe
        ]

    def _finish(self, pending, cause, body=b'', ran=True):
        pending.is_finished = True
        self._pending_jobs.pop(pending.job.job_id, None)
        return jobs.Finish(pending.job, cause, body, ran, pending.waited_s)

    def _would_miss_deadline(self, job, now):
        """Estimate whether the jobs ahead use up the time to the deadline."""
        if now >= job.deadline:
            return True
        if not len(self._queue):
            return False
        median = self._window.percentile_s(50.0)
        if median is None:
            return False
        slots = sum(
            r.limiter.limit for r in self.replicas.values() if r.is_open
        )
        ahead = self._queue.count_ahead(job.priority)
        return now + median * (1 + ahead / max(slots, 1)) > job.deadline

    def _exceeds_rates(self, job, now):
        """Return whether the rates of the targets allow a job too late.

        The jobs ahead in the queue go first.
        """
        replicas = [
            r for r in self.replicas.values() if r.is_open and r.holds(job)
        ]
        until = job.deadline - (self._window.percentile_s(50.0) or 0.0)
        count = self._queue.count_ahead(job.priority) + 1
        return not self._rates.allow_in_time(replicas, count, until, now)

    def _record_latency(self, attempt, result, now):
        elapsed = now - attempt.started_at
        if result.status is jobs.Status.OK:
            attempt.replica.latency.add(elapsed)
            if attempt.replica.limiter.is_warm and not attempt.is_probe:
                self._window.add(elapsed, now)
        elif result.status is not jobs.Status.REFUSED:
            attempt.replica.latency.add_lower_bound(
                elapsed * UNANSWERED_FACTOR
            )

    def _set_timer(self, when, event):
        heapq.heappush(self._timers, (when, next(self._ids), event))
