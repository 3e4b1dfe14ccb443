"""The exchange that carries a batch of sends to a delegate."""

from savorycross.delegate import batch_handler
from savorycross.delegate import protocol
from savorycross.forward import call as calls
from savorycross.wire import messages

# The first results are due this long before the hedge to a second target.
FLUSH_MARGIN_S = 0.002
MIN_FLUSH_S = 0.001
# A delegate is avoided if no result has arrived this long after the hedge
# delay.
RESULT_GRACE_S = 0.03


class BatchExchange:
    """Sends attempts of one call to a delegate and delivers their results.

    Implements ``wire.outbound.Exchange``.

    :param engine: Engine.
    :param delegate: Delegate.
    :param attempts: Attempts, all to targets in the delegate's data centre.
    :param gather: object with ``pause`` and ``resume``; see
        ``batcher.Batcher``.
    """

    is_head = False

    def __init__(self, engine, delegate, attempts, gather):
        self.data = b''
        self._engine = engine
        self._delegate = delegate
        self._attempts = tuple(attempts)
        self._pending = set(attempts)
        self._gather = gather
        self._connection = None
        self._sent_at = engine.now()
        self._uncounted_bytes = 0
        self._timer = None

    def send(self, call, route, remaining_s):
        """Send the batch.

        :param call: Call that the attempts belong to.
        :param route: Route of the call.
        :param remaining_s: seconds in which a reply is of use.
        """
        route_latency = self._engine.route_latency(route)
        hedge_delay_s = route_latency.hedge_delay(self._sent_at)
        flush_s = hedge_delay_s - self._delegate.overhead_s - FLUSH_MARGIN_S
        request = protocol.BatchRequest(
            format=protocol.FORMAT,
            id=call.id,
            method=call.method,
            path=call.target,
            headers=call.headers,
            body=call.body,
            remaining_ms=max(1, int(remaining_s * 1000)),
            flush_ms=int(max(flush_s, MIN_FLUSH_S) * 1000),
            usual_ms=round(route_latency.typical_s * 1000, 1),
            record_limit=route.record_limit,
            targets=tuple(a.state.target.id for a in self._attempts),
            paid=frozenset(
                n for n, a in enumerate(self._attempts) if a.is_paid
            ),
        )
        self.data = messages.encode_request(
            b'POST', batch_handler.PATH, (), protocol.encode(request)
        )
        self._uncounted_bytes = len(self.data)
        self._timer = self._engine.timers.call_at(
            self._sent_at + hedge_delay_s + RESULT_GRACE_S, self._on_timeout
        )
        self._connection = self._delegate.pool.send(self)
        if self._connection is None:
            self._fail_pending('no connection')
            return
        for attempt in self._attempts:
            attempt.connection = _AttemptConnection(self, attempt)

    def remove(self, attempt):
        """Remove an attempt.

        The delegate learns of it only when no attempt is left, as the
        connection is then closed.
        """
        self._pending.discard(attempt)
        if not self._pending:
            self._timer.cancel()
            self._connection.close()

    def accepts(self, reply):
        """Return whether a reply belongs to the batch: always true."""
        return True

    def on_chunk(self, data):
        """Deliver the results in a chunk of the reply to their attempts."""
        try:
            message = protocol.decode_results(data)
        except ValueError:
            self._fail_pending('invalid results')
            self._connection.close()
            return
        self._timer.cancel()
        now = self._engine.now()
        overhead_s = max(0.0, now - self._sent_at - message.elapsed_ms / 1000)
        self._delegate.record_success(overhead_s)
        rows = [
            (self._attempts[r.number], r)
            for r in message.results
            if 0 <= r.number < len(self._attempts)
            and self._attempts[r.number] in self._pending
        ]
        self._pending.difference_update(a for a, _ in rows)
        self._record_bytes(len(data), rows)
        for attempt, result in rows:
            self._record_statement(attempt, result)
        self._deliver_parts(rows, now, overhead_s)
        for attempt, result in rows:
            if result.outcome is protocol.Outcome.LOST:
                attempt.on_lost(True, 'lost by its delegate')
            elif result.outcome is not protocol.Outcome.OK:
                attempt.on_verdict(calls.Verdict[result.outcome.name], None)

    def on_reply(self, reply):
        """Handle the end of the results; attempts without one have failed."""
        self._timer.cancel()
        if self._pending:
            self._fail_pending(f'status {reply.status}')

    def on_lost(self, was_sent, reason):
        """Handle the loss of the connection to the delegate."""
        self._fail_pending(reason)

    def _record_bytes(self, count, rows):
        """Record the size of a message, and of the batch with the first."""
        count += self._uncounted_bytes
        self._uncounted_bytes = 0
        for attempt, _ in rows:
            self._engine.record_bytes(attempt.state, count / len(rows))

    def _record_statement(self, attempt, result):
        """Record what the target has said to the delegate."""
        if result.is_leaving:
            self._engine.record_leaving(attempt.state)
        self._engine.record_pause(attempt.state, result.pause_ms / 1000)
        if result.outcome is protocol.Outcome.LOST:
            return
        self._engine.record_statement(
            attempt.state,
            calls.Verdict[result.outcome.name],
            result.rate_per_s,
            attempt.started_at,
        )

    def _deliver_parts(self, rows, now, overhead_s):
        """Deliver all parts of one message, or none of them.

        The delegate left out records that a merge of these parts drops, so
        one part without the others lacks records.

        :param rows: pairs of an Attempt and its Result.
        """
        parts = [(a, r) for a, r in rows if r.outcome is protocol.Outcome.OK]
        if any(a.fetch.has_failed for a, _ in parts):
            for attempt, _ in parts:
                attempt.on_delegate_lost('part of a failed call')
            return
        self._gather.pause()
        for attempt, result in parts:
            took_s = result.took_ms / 1000 + overhead_s
            attempt.started_at = now - took_s
            attempt.is_pruned = True
            attempt.on_verdict(
                calls.Verdict.OK,
                self._engine.dialect.make_part(result.stamp, result.records),
            )
        self._gather.resume()

    def _on_timeout(self):
        self._record_failure('late')

    def _fail_pending(self, reason):
        """Return attempts without a result to their fetches for a retry."""
        self._timer.cancel()
        self._record_failure(reason)
        pending, self._pending = self._pending, set()
        for attempt in self._attempts:
            if attempt in pending:
                attempt.on_delegate_lost(reason)

    def _record_failure(self, reason):
        backoff_s = self._delegate.record_failure(self._engine.now())
        self._engine.log.event(
            'delegate.failed',
            self._attempts[0].fetch.call.label,
            peer=self._delegate.peer.name,
            reason=reason,
            sends=len(self._pending),
            avoided_s=backoff_s,
        )


class _AttemptConnection:
    """Stands for the connection of one attempt in a batch."""

    __slots__ = ('_batch', '_attempt')
    was_sent = True

    def __init__(self, batch, attempt):
        self._batch = batch
        self._attempt = attempt

    def close(self):
        """Remove the attempt from the batch."""
        self._batch.remove(self._attempt)
