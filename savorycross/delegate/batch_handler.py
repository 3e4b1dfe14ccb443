"""Handles batches of sends that other instances delegate."""

import msgspec

from savorycross.delegate import protocol
from savorycross.forward import attempt as attempts
from savorycross.forward import call as calls
from savorycross.merge import records
from savorycross.wire import messages

PATH = b'/batch'


class BatchHandler:
    """Sends to targets nearby for other instances.

    Implements ``wire.server.Handler``.

    :param engine: Engine.
    """

    def __init__(self, engine):
        self._engine = engine

    def handle(self, request, respond):
        """Make the sends of a batch and respond with their results.

        :param request: Request whose body is a ``protocol.BatchRequest``.
        :param respond: called with a ReplyChunk for each message of Results,
            or with a Reply that refuses the batch.
        :returns: the running batch, or None if it was refused.
        """
        try:
            batch = protocol.decode_batch(request.body)
        except ValueError as exc:
            self._engine.log.event('batch.invalid', reason=str(exc))
            respond(messages.Reply(400))
            return None
        execution = _BatchExecution(self._engine, batch, respond)
        execution.start()
        return execution


class _BatchExecution:
    """Runs the sends of one batch.

    The results that arrive within the batch's ``flush_ms`` go out in one
    message, later ones each in their own.
    """

    def __init__(self, engine, batch, respond):
        self._engine = engine
        self._batch = batch
        self._respond = respond
        self._received_at = engine.now()
        self._pending = {}
        self._unflushed = []
        self._has_flushed = False
        self._is_finished = False
        self._timers = ()
        self.call = calls.Call(
            id=batch.id,
            host='',
            path='',
            method=batch.method,
            target=batch.path,
            headers=batch.headers,
            body=batch.body,
            caller_timeout_s=None,
            received_at=self._received_at,
        )

    def start(self):
        """Send to all targets and start the timers."""
        batch = self._batch
        end_at = self._received_at + batch.remaining_ms / 1000
        call_at = self._engine.timers.call_at
        self._timers = (
            call_at(self._received_at + batch.flush_ms / 1000, self._flush),
            call_at(end_at, self._end_late),
        )
        for number, id_ in enumerate(batch.targets):
            self._send(number, id_)
        self._engine.metrics.count('delegated_sends', len(batch.targets))
        self._flush_if_due()

    def cancel(self):
        """Abandon all sends, as nobody waits for the results."""
        self._is_finished = True
        for timer in self._timers:
            timer.cancel()
        for attempt in self._pending:
            attempt.abandon()
        self._pending.clear()

    def accepts(self, reply):
        """Return whether a reply belongs to the call."""
        return self._engine.dialect.matches(self.call, reply)

    def on_reply(self, attempt, reply):
        """Handle a target's reply."""
        now = self._engine.now()
        dialect = self._engine.dialect
        verdict = dialect.classify(reply)
        self._engine.read_statement(
            attempt.state, verdict, reply, attempt.started_at
        )
        if verdict is calls.Verdict.OK:
            latency_s = now - attempt.started_at
            typical_s = self._batch.usual_ms / 1000
            attempt.state.record_success(now)
            attempt.state.add_latency(latency_s / typical_s, now)
            self._finish_send(attempt, now, dialect.stamp(reply), reply.body)
            return
        if verdict in (calls.Verdict.FAILED, calls.Verdict.INVALID):
            attempt.state.record_failure(now)
        elif verdict is calls.Verdict.MISDIRECTED:
            attempt.state.mark_misdirected(now)
        self._finish_send(attempt, now, outcome=protocol.Outcome[verdict.name])

    def on_lost(self, attempt, was_sent, reason):
        """Handle the loss of a target's connection before its reply."""
        now = self._engine.now()
        attempt.state.record_failure(now)
        self._engine.log.event(
            'send.failed',
            self.call.label,
            service=attempt.state.target.service,
            target=attempt.state.target.id,
            reason=reason,
            after_s=round(now - attempt.started_at, 4),
            may_have_run=was_sent,
        )
        self._finish_send(attempt, now, outcome=protocol.Outcome.LOST)

    def _send(self, number, id_):
        """Send to a target, if it is usable.

        :param number: place of the target in the batch.
        """
        engine = self._engine
        now = engine.now()
        state = engine.target_registry.find_usable(id_)
        if state is None:
            self._add_result(number, protocol.Outcome.NOT_RUN, 0.0)
            return
        is_paid = number in self._batch.paid
        is_allowed = is_paid or engine.may_send(state, now)
        if state.is_paused(now) or not is_allowed:
            self._add_result(number, protocol.Outcome.NOT_RUN, 0.0)
            return
        remaining_s = self._batch.remaining_ms / 1000
        data = engine.dialect.encode_send(self.call, remaining_s, id_)
        attempt = attempts.Attempt(self, state, data, now)
        attempt.connection = state.pool.send(attempt)
        if attempt.connection is None:
            self._add_result(number, protocol.Outcome.NOT_RUN, 0.0)
            return
        engine.record_send(state, attempts.SendKind.DELEGATED, now, is_paid)
        state.add_outstanding(attempt, now, self._batch.usual_ms / 1000)
        self._pending[attempt] = number

    def _finish_send(
        self, attempt, now, stamp=b'', body=b'', outcome=protocol.Outcome.OK
    ):
        """Record the outcome of a send, and flush if due."""
        number = self._pending.pop(attempt, None)
        if number is None or self._is_finished:
            return
        self._add_result(
            number, outcome, now - attempt.started_at, stamp, body
        )
        self._flush_if_due()

    def _add_result(self, number, outcome, took_s, stamp=b'', body=b''):
        result = protocol.Result(
            number, outcome, round(took_s * 1000, 1), stamp, body
        )
        id_ = self._batch.targets[number]
        state = self._engine.target_registry.find(id_)
        if state is not None:
            pause_s = max(0.0, state.paused_until - self._engine.now())
            result = msgspec.structs.replace(
                result,
                rate_per_s=state.rate.statement.rate_per_s,
                is_leaving=state.is_leaving,
                pause_ms=min(int(pause_s * 1000), protocol.MAX_MS),
            )
        self._unflushed.append(result)

    def _flush_if_due(self):
        if self._has_flushed or not self._pending:
            self._flush()

    def _flush(self):
        """Respond with the results that have not gone out yet."""
        if self._is_finished:
            return
        self._has_flushed = True
        self._is_finished = not self._pending
        results, self._unflushed = self._unflushed, []
        elapsed_s = self._engine.now() - self._received_at
        body = protocol.encode(
            protocol.Results(
                round(elapsed_s * 1000, 1),
                _prune(results, self._batch.record_limit),
            )
        )
        if self._is_finished:
            for timer in self._timers:
                timer.cancel()
        self._respond(messages.ReplyChunk(body, self._is_finished))

    def expire(self):
        """Respond with the results so far, as this instance ends.

        There is none for a send in progress: its target has not failed, so
        the sender is to try it again without this delegate.
        """
        for attempt in self._pending:
            attempt.abandon()
        self._pending.clear()
        self._flush()

    def _end_late(self):
        """Abandon the sends without a reply in time and flush."""
        now = self._engine.now()
        for attempt, number in self._pending.items():
            attempt.abandon()
            took_s = now - attempt.started_at
            self._add_result(number, protocol.Outcome.LOST, took_s)
        self._pending.clear()
        self._flush()


def _prune(results, limit):
    """Return Results without the records that a merge of them drops.

    :param results: list of Result.
    :param limit: number of records that the merge keeps.
    """
    pruned = records.prune_records([r.records for r in results], limit)
    return tuple(
        msgspec.structs.replace(result, records=body)
        for result, body in zip(results, pruned, strict=True)
    )
