"""Coordination of the queries that this entry has in progress."""

import itertools
import math

import trio

from savorycross.catalogue import workload as workloads
from savorycross.entry import query_run
from savorycross.entry import request
from savorycross import errors
from savorycross.peer import messages


class QueryCoordinator:
    """Takes queries from callers and drives one QueryRun for each.

    :param router: QueryRouter.
    :param admission: AdmissionController.
    :param send: callable of an instance's name and a message; returns False
        if the message cannot be sent.
    :param part_ids: iterator of part ids, unique on this instance.
    :param journal: Journal.
    :param metrics: Registry.
    """

    def __init__(self, router, admission, send, part_ids, journal, metrics):
        self._router = router
        self._admission = admission
        self._send = send
        self._part_ids = part_ids
        self._journal = journal
        self._metrics = metrics
        self._inboxes = {}
        self._request_id_by_part = {}

    @property
    def in_progress(self):
        """Number of queries in progress."""
        return len(self._inboxes)

    async def query(self, request_id, query_request, caller):
        """Return the QueryAnswer to a QueryRequest.

        :param caller: identity of the caller, for fair sharing.
        :raises UnknownWorkloadError: if there is no such query workload.
        :raises DeadlineInfeasibleError: if admission control finds the
            deadline too short.
        :raises OverloadedError: if admission control refuses the query.
        :raises CoverageTooLowError: if too few shards answered; its
            ``coverage`` says which.
        """
        now = trio.current_time()
        workload = request.find_workload(
            self._router.catalogue,
            query_request.workload,
            workloads.Kind.QUERY,
        )
        timeout_s = (query_request.deadline_ms or workload.deadline_ms) / 1000
        admitted = self._admission.admit(workload, caller, timeout_s, now)
        run = self._make_run(
            request_id, query_request, workload, now + timeout_s
        )
        self._journal.record(
            'query.accepted', request_id, workload=workload.name
        )
        succeeded = False
        try:
            await self._run_until_done(run, now)
            answer = self._make_answer(run, query_request)
            succeeded = True
        finally:
            now = trio.current_time()
            self._admission.finish(
                admitted, run.wait_ms / 1000, succeeded, now
            )
            self._record_metrics(workload, run, now - admitted.started_at)
        return answer

    def handle_part_answer(self, answer):
        """Pass a PartAnswer to its query; return False if there is none."""
        request_id = self._request_id_by_part.get(answer.part_id)
        if request_id is None:
            return False
        if answer.final:
            del self._request_id_by_part[answer.part_id]
        self._inboxes[request_id].send_nowait(answer)
        return True

    def handle_owner_lost(self, owner):
        """Tell all queries that an instance has failed.

        :param owner: name of the instance.
        """
        for inbox in self._inboxes.values():
            inbox.send_nowait(owner)

    def _make_run(self, request_id, query_request, workload, deadline):
        min_coverage = query_request.min_coverage
        if min_coverage is None:
            min_coverage = workload.min_coverage
        early_end = None
        if workload.early_ms:
            early_end = trio.current_time() + workload.early_ms / 1000
        spec = query_run.QuerySpec(
            request_id=request_id,
            index=workload.index,
            priority=workload.priority,
            payload=bytes(query_request.payload),
            deadline=deadline,
            early_end=early_end,
            min_coverage=min_coverage,
        )
        return query_run.QueryRun(
            spec,
            lambda avoid: self._router.plan(workload.index, avoid),
            self._router.owners,
            self._part_ids,
        )

    async def _run_until_done(self, run, now):
        """Pass messages and time to a run; cancel it if the task ends."""
        send, receive = trio.open_memory_channel(math.inf)
        request_id = run.spec.request_id
        self._inboxes[request_id] = send
        part_ids = set()
        try:
            self._send_actions(run, run.start(now), part_ids)
            while not run.is_done:
                message = None
                with trio.move_on_at(run.next_timer_at()):
                    message = await receive.receive()
                now = trio.current_time()
                self._send_actions(run, _advance(run, message, now), part_ids)
        finally:
            if not run.is_done:
                self._send_actions(run, run.cancel(), part_ids)
            del self._inboxes[request_id]
            for part_id in part_ids:
                self._request_id_by_part.pop(part_id, None)

    def _send_actions(self, run, actions, part_ids):
        """Send messages; treat an owner that cannot be reached as lost.

        :param part_ids: set to which the ids of sent parts are added.
        """
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            message = action.message
            if isinstance(message, messages.Part):
                part_ids.add(message.part_id)
                self._request_id_by_part[message.part_id] = run.spec.request_id
            sent = self._send(action.to, message)
            if not sent and isinstance(message, messages.Part):
                now = trio.current_time()
                queue += run.handle_owner_lost(action.to, now)

    def _make_answer(self, run, query_request):
        """Return the QueryAnswer of a run that is done.

        :raises CoverageTooLowError: if too few shards answered.
        """
        coverage = run.merger.coverage()
        request_id = run.spec.request_id
        self._journal.record(
            'query.answered',
            request_id,
            asked=coverage.asked,
            answered=coverage.answered,
            version=run.plan.snapshot.version,
        )
        if coverage.ratio < run.spec.min_coverage or not coverage.answered:
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
            records=run.merger.records(query_request.limit),
        )

    def _record_metrics(self, workload, run, elapsed_s):
        name = workload.name
        self._metrics.observe('query_seconds', elapsed_s, workload=name)
        if run.merger is None:
            return
        coverage = run.merger.coverage()
        self._metrics.count('shards_asked', coverage.asked, workload=name)
        self._metrics.count(
            'shards_missed', len(coverage.missed), workload=name
        )
        self._metrics.count('query_restarts', run.restarts)


def _advance(run, message, now):
    """Pass a message to a run, then run its due timers.

    :param message: PartAnswer, the name of a lost owner, or None.
    :returns: list of SendAction.
    """
    actions = []
    if isinstance(message, messages.PartAnswer):
        actions += run.handle_part_answer(message, now)
    elif message is not None:
        actions += run.handle_owner_lost(message, now)
    return actions + run.run_due_timers(now)


def make_request_ids(prefix):
    """Return an iterator of request ids.

    :param prefix: text that no other process of any instance uses.
    """

    return (f'{prefix}-{n:x}' for n in itertools.count(1))
