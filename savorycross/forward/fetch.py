"""Gets the answer of one service: first send, retries and hedges."""

import enum

from savorycross.forward import attempt as attempts
from savorycross.forward import call as calls
from savorycross.overload import waiting_line

# Number of sends beyond the route's attempts that may replace sends which
# certainly did not run.
MAX_REFUSED_SENDS = 2
# Sends that never left this instance before the fetch fails.
MAX_UNSENT = 4
# A refusal counts as an answer with this relative latency.
REFUSAL_RELATIVE_LATENCY = 8.0
# Share of the latency objective for which a send waits for tokens of limited
# targets.
TOKEN_WAIT_SHARE = 0.2
# How often a hedge that lacks tokens is tried again.
BORROW_RECHECK_S = 0.01
# How often a send that lacks budget is tried again.
BUDGET_RECHECK_S = 0.02
# A send that ends without a reply counts as a failure of its target if it
# took this multiple of the typical latency.
OVERDUE_MULTIPLE = 2.0
# Connections that have been idle for longer are not used for requests that
# are not idempotent.
NON_IDEMPOTENT_MAX_IDLE_S = 0.3


class State(enum.Enum):
    """The state of a fetch."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    FAILED = 'failed'


class Fetch:
    """Gets one answer from the targets of a service.

    ``reply`` is the answer, or the latest reply that reports a failure,
    ``reason`` says why the latest send failed, and ``may_have_run`` whether
    a target may have run the call without an answer. ``tried`` holds the
    ids of targets that are not chosen again. ``is_dispensable`` tells that
    the call can do without the answer, so that others go first where targets
    state limits. Of all sends (``sends``),
    ``runs`` may have run and ``unsent`` never left this instance.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param service: name of the service.
    :param end_at: runtime clock time after which nothing is sent.
    :param wait_for_target_until: runtime clock time until which the fetch
        waits for a usable target.
    :param on_done: called with the fetch when it is answered or failed.
    :param count_needed: callable that returns how many further services
        must answer before the call can be answered, this one included; 0 or
        less if it can be answered already.
    :param batcher: Batcher that may take the first send, or None.
    """

    __slots__ = (
        '_attempts',
        '_batcher',
        '_engine',
        '_count_needed',
        '_in_flight',
        '_is_closed',
        '_lacks_budget',
        '_on_done',
        '_route_latency',
        '_timer',
        'call',
        'end_at',
        'is_dispensable',
        'may_have_run',
        'wait_for_target_until',
        'reason',
        'reply',
        'route',
        'runs',
        'sends',
        'service',
        'state',
        'tried',
        'unsent',
    )

    def __init__(
        self,
        engine,
        call,
        route,
        service,
        end_at,
        wait_for_target_until,
        on_done,
        count_needed=lambda: 1,
        batcher=None,
    ):
        self.call = call
        self.route = route
        self.service = service
        self.end_at = end_at
        self.wait_for_target_until = wait_for_target_until
        self.state = State.RUNNING
        self.reply = None
        self.reason = ''
        self.may_have_run = False
        self.is_dispensable = False
        self.tried = set()
        self.runs = 0
        self.sends = 0
        self.unsent = 0
        self._engine = engine
        self._on_done = on_done
        self._route_latency = engine.route_latency(route)
        self._count_needed = count_needed
        self._is_closed = False
        self._lacks_budget = False
        self._batcher = batcher
        self._attempts = []
        self._in_flight = set()
        self._timer = None

    def start(self):
        """Send the call to a first target."""
        self._engine.budget(self.service).deposit(self._engine.now())
        self._send_or_wait()

    def start_in_turn(self):
        """Send the call ahead of those that wait in the line."""
        now = self._engine.now()
        self._engine.budget(self.service).deposit(now)
        if not self._send(now, is_hedge=False):
            self._send_or_wait()

    def fail(self):
        """End without a send, as no target can answer."""
        self._finish(State.FAILED)

    def close(self):
        """Send nothing more, but take in the replies to earlier sends."""
        self._is_closed = True
        self._set_timer(None)
        self._engine.line(self.service).leave(self)

    def release(self):
        """Free what only an answer needs, as the call has ended."""
        self.close()
        self._hold_reply(None)
        self.call.drop_body()

    def _hold_reply(self, reply):
        """Replace the reply, whose bytes count until the call ends."""
        grown_bytes = _count_body(reply) - _count_body(self.reply)
        self._engine.buffers.replies += grown_bytes
        self.reply = reply

    def cancel(self):
        """Abandon all sends, which stops the targets' work."""
        self.close()
        self._abandon_in_flight()
        if self.state is State.RUNNING:
            self.state = State.FAILED

    def expire(self):
        """Abandon all sends and count the overdue ones as failures."""
        self.close()
        now = self._engine.now()
        overdue_s = OVERDUE_MULTIPLE * self._route_latency.typical_s
        for attempt in self._abandon_in_flight():
            if now - attempt.started_at >= overdue_s:
                self._engine.record_answer(self.route, attempt, False, now)
                self._record_failure(attempt, now, 'silent')

    def _abandon_in_flight(self):
        """Close the connections of sends in flight and return the sends."""
        abandoned, self._in_flight = self._in_flight, set()
        for attempt in abandoned:
            attempt.abandon()
        if abandoned:
            self._engine.wake_line(self.service)
        return abandoned

    @property
    def has_failed(self):
        """Whether the fetch ended without an answer."""
        return self.state is State.FAILED

    def encode(self, state, now):
        """Return the request to a target as bytes.

        :param state: TargetState of the target.
        :param now: runtime clock time in seconds.
        """
        return self._engine.dialect.encode_send(
            self.call, self.end_at - now, state.target.id
        )

    def accepts(self, reply):
        """Return whether a reply has the identity of the call."""
        return self._engine.dialect.matches(self.call, reply)

    def on_reply(self, attempt, reply):
        """Handle a target's reply."""
        engine = self._engine
        verdict = engine.dialect.classify(reply)
        engine.read_statement(
            attempt.state, verdict, reply, attempt.started_at
        )
        self.on_verdict(attempt, verdict, reply)

    def on_verdict(self, attempt, verdict, reply):
        """Handle a target's reply by its verdict.

        :param attempt: Attempt that the reply belongs to.
        :param verdict: Verdict on the reply.
        :param reply: Reply, or None if a delegate received it and it is no
            answer.
        """
        self._in_flight.discard(attempt)
        now = self._engine.now()
        self._engine.wake_line(self.service)
        if verdict is calls.Verdict.OK:
            self._accept_answer(attempt, reply, now)
            return
        if verdict is calls.Verdict.NOT_RUN:
            self.runs -= 1
            self.tried.discard(attempt.state.target.id)
            attempt.state.add_latency(REFUSAL_RELATIVE_LATENCY, now)
            self._retry(attempt, now, 'refused', was_run=False)
            return
        if verdict is calls.Verdict.MISDIRECTED:
            self.runs -= 1
            attempt.state.mark_misdirected(now)
            self._engine.log.event(
                'target.misplaced',
                self.call.label,
                target=attempt.state.target.id,
                service=self.service,
            )
            self._retry(attempt, now, 'misdirected', was_run=False)
            return
        self._engine.record_answer(self.route, attempt, True, now)
        self._record_failure(attempt, now, verdict.value)
        is_open = self.state is State.RUNNING and not self._is_closed
        if verdict is calls.Verdict.FAILED and is_open:
            self._hold_reply(reply)
        self.may_have_run = True
        reason = f'status {reply.status}' if reply else verdict.value
        self._retry(attempt, now, reason, was_run=True)

    def on_lost(self, attempt, was_sent, reason):
        """Handle the loss of a connection before its reply.

        :param was_sent: whether any byte of the request may have left.
        :param reason: reason of the loss, for logs and metrics.
        """
        self._in_flight.discard(attempt)
        now = self._engine.now()
        self._engine.wake_line(self.service)
        self._record_failure(attempt, now, reason, was_sent)
        self._engine.record_lost(attempt, was_sent, now)
        if was_sent:
            self.may_have_run = True
        else:
            self.runs -= 1
            self.unsent += 1
        self._retry(attempt, now, reason, was_run=was_sent)

    def on_delegate_lost(self, attempt, reason):
        """Handle the loss of a delegate, which is no failure of the target."""
        self._in_flight.discard(attempt)
        self.may_have_run = True
        self._retry(attempt, self._engine.now(), reason, was_run=True)

    def _accept_answer(self, attempt, reply, now):
        seconds = now - attempt.started_at
        if attempt.data:
            count = len(attempt.data) + len(reply.body)
            self._engine.record_bytes(attempt.state, count)
        route_latency = self._route_latency
        attempt.state.record_success(now)
        attempt.state.add_latency(seconds / route_latency.typical_s, now)
        route_latency.add(seconds, now)
        self._engine.record_answer(self.route, attempt, False, now)
        if self.state is not State.RUNNING:
            # The other replies in the delegate's message were pruned on the
            # assumption that this one is merged, so it replaces the reply.
            if attempt.is_pruned and not self._is_closed:
                self._hold_reply(reply)
            return
        if not self._is_closed:
            self._hold_reply(reply)
        self._finish(State.ANSWERED)

    def _record_failure(self, attempt, now, reason, has_connected=True):
        state = attempt.state
        if state.record_failure(now, has_connected):
            self._engine.log.event(
                'target.ejected',
                self.call.label,
                target=state.target.id,
                service=self.service,
                failures=state.failures,
                reason=reason,
                for_s=round(state.ejected_until - now, 3),
            )

    def _retry(self, attempt, now, reason, was_run):
        """Send again after a failure if the route allows it.

        :param was_run: whether a target may have run the call.
        """
        self._engine.count_failure(self.service, reason)
        self.reason = reason
        if self.state is not State.RUNNING:
            return
        self._engine.log.event(
            'send.failed',
            self.call.label,
            service=self.service,
            target=attempt.state.target.id,
            reason=reason,
            after_s=round(now - attempt.started_at, 4),
            may_have_run=was_run,
        )
        if self._in_flight:
            return
        if was_run and not self.route.is_idempotent:
            self._finish(State.FAILED)
            return
        self._send_or_wait()

    @property
    def workspace(self):
        """The Workspace of the call, or None."""
        return self.call.workspace

    def place(self):
        """Return the Place in the line of sends that wait for room."""
        typical_s = self._route_latency.typical_s
        is_late = self._engine.now() + typical_s > self.wait_for_target_until
        urgency = self.call.urgency(self.route)
        return waiting_line.Place(
            urgency, self._count_needed(), self.end_at, is_late
        )

    def try_turn(self, now):
        """Send if there is room now; return whether the send was made.

        A send without budget leaves the line, as it would hold up others, and
        so does one for which no target has use in time.
        """
        line = self._engine.line(self.service)
        if now >= self.end_at:
            line.leave(self)
            return False
        if self._send(now, is_hedge=False):
            line.leave(self)
            return True
        if self._lacks_budget:
            line.leave(self)
            self._wait_for_budget(now)
        elif self._is_paused_too_long(now):
            self.reason = 'paused'
            self._stop_waiting()
        return False

    def _is_paused_too_long(self, now):
        """Return whether all targets want nothing for as long as it waits."""
        if not self._engine.is_paused(self.service, now):
            return False
        turn_at = self._engine.expect_turn(self.service, now)
        return turn_at > self._wait_until(now)

    def _send_or_wait(self):
        """Send, wait for a target with room or for budget, or fail."""
        now = self._engine.now()
        if now >= self.end_at or not self._may_send_more():
            self._finish(State.FAILED)
            return
        line = self._engine.line(self.service)
        if not line and self._send(now, is_hedge=False):
            return
        if self._lacks_budget:
            self._wait_for_budget(now)
            return
        wait_until = self._wait_until(now)
        turn_at = self._engine.expect_turn(self.service, now)
        is_too_late = turn_at > wait_until and not self._engine.may_borrow(
            self.service, now
        )
        if self.is_dispensable or is_too_late:
            is_paused = self._engine.is_paused(self.service, now)
            self.reason = 'paused' if is_paused else 'rate limits'
            wait_until = now
        if now >= wait_until:
            self._finish(State.FAILED)
            return
        line.join(self)
        self._set_timer(wait_until, self._stop_waiting)
        self._engine.advance_line(self.service, now)

    def _wait_for_budget(self, now):
        """Try again later, as some budget may have come back by then."""
        if now >= self.wait_for_target_until:
            self._finish(State.FAILED)
            return
        self._set_timer(now + BUDGET_RECHECK_S, self._send_or_wait)

    def _wait_until(self, now):
        """Return the runtime clock time until which to wait for room.

        Room comes as soon as a target has answered others. A new target, or
        a further send to a cold one, seldom comes before the deadline, and
        another instance may have it. A late call leaves the tokens of limited
        targets to calls that are still in time.
        """
        if self._engine.is_limited(self.service):
            since = now if self.sends else self.call.received_at
            return find_token_wait_end(self.route, since)
        usable = self._engine.target_registry.list_usable(self.service)
        if all(state.is_cold(now) for state in usable):
            return self.wait_for_target_until
        return self.end_at - self._route_latency.typical_s

    def _stop_waiting(self):
        """Fail, as room does not come in time."""
        self._engine.line(self.service).leave(self)
        self._finish(State.FAILED)

    def _may_send_more(self):
        max_arrivals = self.route.attempts + MAX_REFUSED_SENDS
        return (
            not self._is_closed
            and self.runs < self.route.attempts
            and self.sends - self.unsent < max_arrivals
            and self.unsent < MAX_UNSENT
        )

    def _send(self, now, is_hedge):
        """Send to a target; return False if none is available."""
        engine = self._engine
        batcher = self._batcher if self.sends == 0 else None
        preferred = batcher.preferred if batcher is not None else None
        draw = batcher.draw if batcher is not None else None
        self._lacks_budget = False
        keeps_reserve = self.is_dispensable or (
            is_hedge and engine.is_limited(self.service)
        )
        state = engine.pick(
            self.service, self.tried, now, preferred, keeps_reserve, draw
        )
        if state is None:
            self.reason = self.reason or 'no usable target'
            return False
        is_extra = self.sends > self.unsent
        self._lacks_budget = is_extra and not self._acquire_budget(
            now, is_hedge
        )
        if self._lacks_budget:
            self.reason = self.reason or 'no budget'
            return False
        attempt = batcher.add(self, state, now) if batcher else None
        if attempt is None:
            data = self.encode(state, now)
            attempt = attempts.Attempt(self, state, data, now)
            max_idle_s = (
                None if self.route.is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S
            )
            # A copy of the reply to an earlier send has the same id.
            avoided = [a.connection for a in self._attempts]
            if not attempt.send(max_idle_s, avoided):
                return False
        state.add_outstanding(attempt, now, self._route_latency.typical_s)
        kind = _send_kind(is_extra, is_hedge)
        attempt.is_paid = engine.record_send(state, kind, now)
        engine.count_exposure(state, is_first=self.sends == 0)
        self._attempts.append(attempt)
        self._in_flight.add(attempt)
        self.tried.add(state.target.id)
        self.sends += 1
        self.runs += 1
        may_hedge = self.route.is_idempotent and self._may_send_more()
        if may_hedge or not attempt.was_sent:
            delay_s = self._route_latency.hedge_delay(now)
            self._set_timer(now + delay_s, self._hedge)
        else:
            self._set_timer(None)
        return True

    def _acquire_budget(self, now, is_hedge):
        budget = self._engine.budget(self.service)
        if is_hedge:
            return budget.try_withdraw_hedge(now, self._count_needed() > 0)
        return budget.try_withdraw_retry(now)

    def _hedge(self):
        """Send to a second target, as the first one is slow."""
        now = self._engine.now()
        if self.state is not State.RUNNING or now >= self.end_at:
            return
        self._abandon_unconnected(now)
        if self._in_flight and not self.route.is_idempotent:
            return
        if not self._may_send_more() or self._send(now, is_hedge=True):
            return
        is_short_of_tokens = not self._lacks_budget
        if is_short_of_tokens and self._engine.may_borrow(self.service, now):
            self._set_timer(now + BORROW_RECHECK_S, self._hedge)

    def _abandon_unconnected(self, now):
        """Abandon sends that still wait for their connection."""
        for attempt in [a for a in self._in_flight if not a.was_sent]:
            self._in_flight.discard(attempt)
            attempt.abandon()
            self.runs -= 1
            self.unsent += 1
            self._record_failure(attempt, now, 'connect', False)
            self._engine.record_lost(attempt, False, now)

    def _set_timer(self, when, callback=None):
        """Replace the timer; with None for a time there is none."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if when is not None:
            self._timer = self._engine.timers.call_at(when, callback)

    def _finish(self, state):
        self._set_timer(None)
        self.state = state
        self._on_done(self)


def find_token_wait_end(route, since):
    """Return until when a send waits for tokens of limited targets.

    :param since: runtime clock time in seconds at which it began.
    """
    return since + TOKEN_WAIT_SHARE * route.objective_s


def _count_body(reply):
    return 0 if reply is None else len(reply.body)


def _send_kind(is_extra, is_hedge):
    if not is_extra:
        return attempts.SendKind.FIRST
    return attempts.SendKind.HEDGE if is_hedge else attempts.SendKind.RETRY
