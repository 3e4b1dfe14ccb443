"""Sends of one call that one delegate makes."""

from savorycross.delegate import message as messages_
from savorycross.delegate import worker
from savorycross.forward import call as calls
from savorycross.wire import messages

# The first results are to come so long before a second target is asked.
FLUSH_MARGIN_S = 0.002
MIN_FLUSH_S = 0.001
# A delegate without results this long after that time is left out.
LATE_S = 0.03


class Batch:
    """An exchange with a delegate; see ``wire.outbound.Exchange``.

    :param delegate: Delegate.
    :param members: Attempts, all to targets in its data centre.
    :param group: see ``batches.Batches``.
    """

    is_head = False

    def __init__(self, engine, delegate, members, group):
        self.data = b''
        self._engine = engine
        self._delegate = delegate
        self._members = tuple(members)
        self._open = set(members)
        self._group = group
        self._connection = None
        self._sent_at = engine.now()
        self._timer = None

    def send(self, call, route, remaining_s):
        """Send the batch."""
        pace = self._engine.pace(route)
        delay_s = pace.hedge_delay(self._sent_at)
        flush_s = delay_s - self._delegate.overhead_s - FLUSH_MARGIN_S
        batch = messages_.Batch(
            format=messages_.FORMAT,
            id=call.id,
            method=call.method,
            path=call.target,
            headers=call.headers,
            body=call.body,
            remaining_ms=max(1, int(remaining_s * 1000)),
            flush_ms=int(max(flush_s, MIN_FLUSH_S) * 1000),
            usual_ms=round(pace.usual_s * 1000, 1),
            record_limit=route.record_limit,
            targets=tuple(m.state.target.id for m in self._members),
        )
        self.data = messages.encode_request(
            b'POST', worker.PATH, (), messages_.encode(batch)
        )
        self._timer = self._engine.timers.call_at(
            self._sent_at + delay_s + LATE_S, self._note_late
        )
        self._connection = self._delegate.pool.send(self)
        if self._connection is None:
            self._lose('no connection')
            return
        for member in self._members:
            member.connection = _Seat(self, member)

    def drop(self, member):
        """Forget a member; the delegate hears of it with the last."""
        self._open.discard(member)
        if not self._open:
            self._timer.cancel()
            self._connection.close()

    def accepts(self, reply):
        """Tell whether a reply belongs to the batch."""
        return True

    def on_chunk(self, data):
        """Take results."""
        try:
            found = messages_.decode_results(data)
        except ValueError:
            self._lose('invalid results')
            self._connection.close()
            return
        self._timer.cancel()
        now = self._engine.now()
        overhead_s = max(0.0, now - self._sent_at - found.elapsed_ms / 1000)
        self._delegate.note_results(overhead_s)
        rows = [
            (self._members[r.number], r)
            for r in found.results
            if 0 <= r.number < len(self._members)
            and self._members[r.number] in self._open
        ]
        self._open.difference_update(m for m, _ in rows)
        self._take_parts(rows, now, overhead_s)
        for member, result in rows:
            if result.outcome is messages_.Outcome.LOST:
                member.on_lost(True, 'lost by its delegate')
            elif result.outcome is not messages_.Outcome.OK:
                member.on_verdict(calls.Verdict[result.outcome.name], None)

    def on_reply(self, reply):
        """Take the end of the results."""
        self._timer.cancel()
        if self._open:
            self._lose(f'status {reply.status}')

    def on_lost(self, was_sent, reason):
        """Take the end of the connection to the delegate."""
        self._lose(reason)

    def _take_parts(self, rows, now, overhead_s):
        """Hand over the parts of one message, all or none.

        Their records are those that a merge of all of them keeps.
        """
        parts = [(m, r) for m, r in rows if r.outcome is messages_.Outcome.OK]
        if any(m.fetch.has_failed for m, _ in parts):
            for member, _ in parts:
                member.on_delegate_lost('part of a failed call')
            return
        self._group.pause()
        for member, result in parts:
            took_s = result.took_ms / 1000 + overhead_s
            member.started_at = now - took_s
            member.is_pruned = True
            member.on_verdict(
                calls.Verdict.OK,
                self._engine.dialect.make_part(result.stamp, result.records),
            )
        self._group.resume()

    def _note_late(self):
        self._fail('late')

    def _lose(self, reason):
        """Send again what has no result."""
        self._timer.cancel()
        self._fail(reason)
        left, self._open = self._open, set()
        for member in self._members:
            if member in left:
                member.on_delegate_lost(reason)

    def _fail(self, reason):
        wait_s = self._delegate.note_failure(self._engine.now())
        self._engine.log.event(
            'delegate.failed',
            self._members[0].fetch.call.label,
            peer=self._delegate.peer.name,
            reason=reason,
            sends=len(self._open),
            avoided_s=wait_s,
        )


class _Seat:
    """The connection of one member of a batch."""

    __slots__ = ('_batch', '_member')
    was_sent = True

    def __init__(self, batch, member):
        self._batch = batch
        self._member = member

    def close(self):
        """Leave the batch."""
        self._batch.drop(self._member)
