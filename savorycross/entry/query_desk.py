"""The queries that this entry has in progress."""

import itertools
import math

import trio

from savorycross.catalogue import workload
from savorycross.entry import query_run
from savorycross.entry import request
from savorycross import errors
from savorycross.peer import messages


class QueryDesk:
    """Takes queries from callers and drives their runs.

    :param source: an EntrySource.
    :param admission: AdmissionController.
    :param send: callable of a name and a message; False if not sent.
    :param part_ids: iterator of part ids, unique on this instance.
    :param journal: Journal.
    :param metrics: Registry.
    """

    def __init__(self, source, admission, send, part_ids, journal, metrics):
        self._source = source
        self._admission = admission
        self._send = send
        self._part_ids = part_ids
        self._journal = journal
        self._metrics = metrics
        self._inboxes = {}
        self._parts = {}

    @property
    def in_progress(self):
        """Number of queries in progress."""
        return len(self._inboxes)

    async def query(self, request_id, asked, caller):
        """Return the QueryAnswer to a QueryRequest.

        :param caller: identity of the caller, for fair sharing.
        :raises CoverageTooLowError: if too few shards answered; its
            ``coverage`` says which.
        """
        now = trio.current_time()
        found = request.find_workload(
            self._source.catalogue, asked.workload, workload.Kind.QUERY
        )
        timeout_s = (asked.deadline_ms or found.deadline_ms) / 1000
        admitted_request = self._admission.admit(found, caller, timeout_s, now)
        run = self._make_run(request_id, asked, found, now + timeout_s)
        self._journal.record('query.accepted', request_id, workload=found.name)
        succeeded = False
        try:
            await self._drive(run, now)
            answer = self._answer(run, asked)
            succeeded = True
        finally:
            now = trio.current_time()
            self._admission.finish(
                admitted_request, run.wait_ms / 1000, succeeded, now
            )
            self._count(found, run, now - admitted_request.started_at)
        return answer

    def part_answered(self, answer):
        """Hand a PartAnswer to its query; return False if there is none."""
        request_id = self._parts.get(answer.part_id)
        if request_id is None:
            return False
        if answer.final:
            del self._parts[answer.part_id]
        self._inboxes[request_id].send_nowait(answer)
        return True

    def owner_lost(self, name):
        """Tell all queries that an instance has failed."""
        for inbox in self._inboxes.values():
            inbox.send_nowait(name)

    def _make_run(self, request_id, asked, found, deadline):
        minimum = asked.min_coverage
        if minimum is None:
            minimum = found.min_coverage
        early = None
        if found.early_ms:
            early = trio.current_time() + found.early_ms / 1000
        demand = query_run.Demand(
            request_id=request_id,
            index=found.index,
            priority=found.priority,
            payload=bytes(asked.payload),
            deadline=deadline,
            early=early,
            min_coverage=minimum,
        )
        return query_run.QueryRun(
            demand,
            lambda avoid: self._source.plan(found.index, avoid),
            self._source.owners,
            self._part_ids,
        )

    async def _drive(self, run, now):
        send, receive = trio.open_memory_channel(math.inf)
        request_id = run.demand.request_id
        self._inboxes[request_id] = send
        mine = set()
        try:
            self._perform(run, run.start(now), mine)
            while not run.is_done:
                message = None
                with trio.move_on_at(run.next_wake()):
                    message = await receive.receive()
                now = trio.current_time()
                self._perform(run, _step(run, message, now), mine)
        finally:
            if not run.is_done:
                self._perform(run, run.cancel(), mine)
            del self._inboxes[request_id]
            for part_id in mine:
                self._parts.pop(part_id, None)

    def _perform(self, run, actions, mine):
        """Send messages; an owner that cannot be reached is lost."""
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            message = action.message
            if isinstance(message, messages.Part):
                mine.add(message.part_id)
                self._parts[message.part_id] = run.demand.request_id
            sent = self._send(action.to, message)
            if not sent and isinstance(message, messages.Part):
                now = trio.current_time()
                queue += run.owner_lost(action.to, now)

    def _answer(self, run, asked):
        coverage = run.merger.coverage()
        request_id = run.demand.request_id
        self._journal.record(
            'query.answered',
            request_id,
            asked=coverage.asked,
            answered=coverage.answered,
            version=run.plan.snapshot.version,
        )
        if coverage.ratio < run.demand.min_coverage or not coverage.answered:
            exc = errors.CoverageTooLowError(
                f'{coverage.answered} of {coverage.asked} shards answered'
            )
            exc.coverage = coverage
            raise exc
        snapshot = run.plan.snapshot
        return request.QueryAnswer(
            request_id=request_id,
            snapshot=request.SnapshotBody(
                run.plan.index, snapshot.version, snapshot.epoch
            ),
            coverage=coverage,
            records=run.merger.records(asked.limit),
        )

    def _count(self, found, run, elapsed):
        name = found.name
        self._metrics.observe('query_seconds', elapsed, workload=name)
        if run.merger is None:
            return
        coverage = run.merger.coverage()
        self._metrics.count('shards_asked', coverage.asked, workload=name)
        self._metrics.count(
            'shards_missed', len(coverage.missed), workload=name
        )
        self._metrics.count('query_restarts', run.restarts)


def _step(run, message, now):
    """Give a run its message, and its timers their turn."""
    actions = []
    if isinstance(message, messages.PartAnswer):
        actions += run.answered(message, now)
    elif message is not None:
        actions += run.owner_lost(message, now)
    return actions + run.wake(now)


def make_request_ids(prefix):
    """Return an iterator of request ids that no other instance issues."""
    return (f'{prefix}-{n:x}' for n in itertools.count(1))
