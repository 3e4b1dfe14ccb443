"""Makes the sends of other instances to targets nearby."""

import msgspec

from savorycross.delegate import message as messages_
from savorycross.forward import attempt as attempts
from savorycross.forward import call as calls
from savorycross.merge import records
from savorycross.wire import messages

PATH = b'/batch'


class Worker:
    """Handles batches; see ``wire.server.Handler``.

    :param engine: Engine.
    """

    def __init__(self, engine):
        self._engine = engine

    def handle(self, request, respond):
        """Make the sends of a batch and return their results."""
        try:
            batch = messages_.decode_batch(request.body)
        except ValueError as exc:
            self._engine.log.event('batch.invalid', reason=str(exc))
            respond(messages.Reply(400))
            return None
        run = _Run(self._engine, batch, respond)
        run.start()
        return run


class _Run:
    """The sends of one batch.

    The first results go out together after the time that the batch names,
    later ones as they come.
    """

    def __init__(self, engine, batch, respond):
        self._engine = engine
        self._batch = batch
        self._respond = respond
        self._begun_at = engine.now()
        self._numbers = {}
        self._ready = []
        self._is_flushed = False
        self._is_over = False
        self._timers = ()
        self.call = calls.Call(
            id=batch.id,
            host='',
            path='',
            method=batch.method,
            target=batch.path,
            headers=batch.headers,
            body=batch.body,
            allowed_s=None,
            received_at=self._begun_at,
        )

    def start(self):
        """Send to all targets."""
        batch = self._batch
        end_at = self._begun_at + batch.remaining_ms / 1000
        call_at = self._engine.timers.call_at
        self._timers = (
            call_at(self._begun_at + batch.flush_ms / 1000, self._flush),
            call_at(end_at, self._expire),
        )
        for number, id_ in enumerate(batch.targets):
            self._send(number, id_)
        self._engine.metrics.count('delegated_sends', len(batch.targets))
        self._check()

    def cancel(self):
        """Stop, as nobody waits for the results."""
        self._is_over = True
        for timer in self._timers:
            timer.cancel()
        for attempt in self._numbers:
            attempt.abandon()
        self._numbers.clear()

    def accepts(self, reply):
        """Tell whether a reply belongs to the call."""
        return self._engine.dialect.belongs(self.call, reply)

    def on_reply(self, attempt, reply):
        """Take a target's reply."""
        now = self._engine.now()
        dialect = self._engine.dialect
        verdict = dialect.judge(reply)
        if verdict is calls.Verdict.OK:
            seconds = now - attempt.started_at
            usual_s = self._batch.usual_ms / 1000
            attempt.state.succeed(now)
            attempt.state.add_latency(seconds / usual_s, now)
            self._take(attempt, now, dialect.stamp(reply), reply.body)
            return
        if verdict in (calls.Verdict.FAILED, calls.Verdict.INVALID):
            attempt.state.fail(now)
        elif verdict is calls.Verdict.MISDIRECTED:
            attempt.state.note_misplaced(now)
        self._take(attempt, now, outcome=messages_.Outcome[verdict.name])

    def on_lost(self, attempt, was_sent, reason):
        """Take the end of a target's connection without a reply."""
        now = self._engine.now()
        attempt.state.fail(now)
        self._engine.log.event(
            'send.failed',
            self.call.label,
            service=attempt.state.target.service,
            target=attempt.state.target.id,
            reason=reason,
            after_s=round(now - attempt.started_at, 4),
            may_have_run=was_sent,
        )
        self._take(attempt, now, outcome=messages_.Outcome.LOST)

    def _send(self, number, id_):
        """Send to a target, if it may still get work."""
        engine = self._engine
        now = engine.now()
        state = engine.roster.find_usable(id_)
        if state is None:
            self._add(number, messages_.Outcome.NOT_RUN, 0.0)
            return
        remaining_s = self._batch.remaining_ms / 1000
        data = engine.dialect.encode_send(self.call, remaining_s, id_)
        attempt = attempts.Attempt(self, state, data, now)
        attempt.connection = state.pool.send(attempt)
        if attempt.connection is None:
            self._add(number, messages_.Outcome.NOT_RUN, 0.0)
            return
        state.begin(attempt, now, self._batch.usual_ms / 1000)
        self._numbers[attempt] = number

    def _take(
        self, attempt, now, stamp=b'', body=b'', outcome=messages_.Outcome.OK
    ):
        number = self._numbers.pop(attempt, None)
        if number is None or self._is_over:
            return
        self._add(number, outcome, now - attempt.started_at, stamp, body)
        self._check()

    def _add(self, number, outcome, seconds, stamp=b'', body=b''):
        self._ready.append(
            messages_.Result(
                number, outcome, round(seconds * 1000, 1), stamp, body
            )
        )

    def _check(self):
        if self._is_flushed or not self._numbers:
            self._flush()

    def _flush(self):
        """Return what is there."""
        if self._is_over:
            return
        self._is_flushed = True
        self._is_over = not self._numbers
        ready, self._ready = self._ready, []
        elapsed_s = self._engine.now() - self._begun_at
        body = messages_.encode(
            messages_.Results(
                round(elapsed_s * 1000, 1),
                _prune(ready, self._batch.record_limit),
            )
        )
        if self._is_over:
            for timer in self._timers:
                timer.cancel()
        self._respond(messages.ReplyChunk(body, self._is_over))

    def _expire(self):
        """Give up what is still without a reply."""
        now = self._engine.now()
        for attempt, number in self._numbers.items():
            attempt.abandon()
            seconds = now - attempt.started_at
            self._add(number, messages_.Outcome.LOST, seconds)
        self._numbers.clear()
        self._flush()


def _prune(results, limit):
    """Return Results without records that their merge drops."""
    kept = records.prune_records([r.records for r in results], limit)
    return tuple(
        msgspec.structs.replace(result, records=body)
        for result, body in zip(results, kept, strict=True)
    )
