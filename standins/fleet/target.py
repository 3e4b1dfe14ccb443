"""A model of a target: slots, a queue, pauses and faults."""

import collections
import random

from savorycross.forward import call as calls
from savorycross.wire import messages
from standins.fleet import dialect

SPREAD = 0.35


class ModelTarget:
    """Works on requests, ``slots`` at a time.

    ``slow_factor``, ``shed_part``, ``rate_limit_per_s``, ``is_dark`` and
    ``is_down`` are set by the events of a pattern. ``arrivals`` holds the time
    at which each request arrived, ``sent_times`` that at which it was sent;
    ``refusals`` is the number of those that were refused.

    :param name: name of the target.
    :param index: pattern.Index.
    :param scheduler: Scheduler.
    :param seed: seed of work times and pauses.
    :param work_s: mean work in seconds by path of a request.
    """

    def __init__(self, name, index, scheduler, seed, work_s):
        self.name = name
        self.slow_factor = 1.0
        self.shed_part = 0.0
        self.rate_limit_per_s = None
        self.is_dark = False
        self.is_down = False
        self.arrivals = []
        self.sent_times = []
        self.refusals = 0
        self._index = index
        self._scheduler = scheduler
        self._rng = random.Random(seed)
        self._work_s = work_s
        self._running = {}
        self._queue = collections.deque()
        self._pause_offset_s = self._rng.random() * index.pause_every_s

    def arrive(self, request, sent_at, respond):
        """Take a request.

        :param request: bytes of ``ModelDialect.encode_send``.
        :param sent_at: simulated time at which it was sent.
        :param respond: called with the Reply.
        :returns: key with which ``cancel`` ends the work.
        """
        now = self._scheduler.time
        self.arrivals.append(now)
        self.sent_times.append(sent_at)
        id_, path, remaining_ms = request.split(b' ')
        job = _Job(id_, path, now + int(remaining_ms) / 1000, respond)
        if self.is_dark:
            return job
        is_full = len(self._queue) >= self._index.queue
        if is_full or self._rng.random() < self.shed_part:
            self._refuse(job)
            return job
        self._queue.append(job)
        self._start_next()
        return job

    def cancel(self, job):
        """End the work on a request whose connection was closed."""
        job.respond = None
        timer = self._running.pop(job, None)
        if timer is not None:
            timer.cancel()
            self._start_next()
        elif job in self._queue:
            self._queue.remove(job)

    def _start_next(self):
        while self._queue and len(self._running) < self._index.slots:
            job = self._queue.popleft()
            if self._scheduler.time >= job.end_at:
                self._refuse(job)
                continue
            done_at = self._scheduler.time + self._draw_work_s(job)
            self._running[job] = self._scheduler.call_at(
                self._skip_pause(done_at), lambda job=job: self._finish(job)
            )

    def _draw_work_s(self, job):
        work_s = self._work_s[job.path] * self.slow_factor
        if self._rng.random() < 0.01:
            work_s *= 5
        return work_s * self._rng.lognormvariate(0.0, SPREAD)

    def _skip_pause(self, when):
        """Return a time after the pause in which work would have ended."""
        index = self._index
        pause_s = index.pause_ms / 1000
        now = self._scheduler.time
        start = now - (now + self._pause_offset_s) % index.pause_every_s
        while start <= when:
            if pause_s and start + pause_s > now:
                when += start + pause_s - max(start, now)
            start += index.pause_every_s
        return when

    def _finish(self, job):
        self._running.pop(job, None)
        if job.respond is not None:
            job.respond(self._make_reply(job, calls.Verdict.OK))
        self._start_next()

    def _refuse(self, job):
        self.refusals += 1
        job.respond(self._make_reply(job, calls.Verdict.NOT_RUN))

    def _make_reply(self, job, verdict):
        headers = (
            (dialect.ID, job.id),
            (dialect.OUTCOME, verdict.value.encode()),
        )
        if self.rate_limit_per_s is not None:
            limit = b'%.3f' % self.rate_limit_per_s
            headers = (*headers, (dialect.RATE_LIMIT, limit))
        return messages.Reply(200, headers)


class _Job:
    """A request at a target."""

    __slots__ = ('end_at', 'id', 'path', 'respond')

    def __init__(self, id_, path, end_at, respond):
        self.id = id_
        self.path = path
        self.end_at = end_at
        self.respond = respond
