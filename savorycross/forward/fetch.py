"""One service's part of a call: first send, retries and hedges."""

import enum

from savorycross.forward import attempt as attempts
from savorycross.forward import call as calls

# Pause before a service without a usable target is looked at again.
RECHECK_S = 0.02
# Sends that surely did not run may exceed the route's attempts by this.
MAX_REFUSED_SENDS = 2
# A refusal counts as an answer this much slower than the usual.
REFUSAL_SLOWNESS = 8.0
# Idle connections older than this are not used for requests that run once.
UNSAFE_IDLE_S = 0.3


class State(enum.Enum):
    """How far a fetch is."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    FAILED = 'failed'


class Fetch:
    """Gets one answer from the targets of a service.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param service: name of the service.
    :param end_at: runtime clock time after which nothing is sent.
    :param patient_until: time until which it waits for a usable target.
    :param on_done: called with the fetch when it is answered or failed.
    :param is_vital: tells whether the call fails without this service.
    :param batches: Batcher that may take the first send, or None.
    """

    __slots__ = (
        '_batches',
        '_engine',
        '_is_vital',
        '_live',
        '_on_done',
        '_pace',
        '_timer',
        'call',
        'end_at',
        'may_have_run',
        'patient_until',
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
        patient_until,
        on_done,
        is_vital=lambda: True,
        batches=None,
    ):
        self.call = call
        self.route = route
        self.service = service
        self.end_at = end_at
        self.patient_until = patient_until
        self.state = State.RUNNING
        self.reply = None
        self.reason = ''
        self.may_have_run = False
        self.tried = set()
        self.runs = 0
        self.sends = 0
        self.unsent = 0
        self._engine = engine
        self._on_done = on_done
        self._pace = engine.pace(route)
        self._is_vital = is_vital
        self._batches = batches
        self._live = set()
        self._timer = None

    def start(self):
        """Send to a first target."""
        self._engine.budget(self.service).earn(self._engine.now())
        self._send_or_wait()

    def cancel(self):
        """Stop, also at the targets."""
        self._set_timer(None)
        self._abandon()
        if self.state is State.RUNNING:
            self.state = State.FAILED

    def expire(self):
        """Close sends that are still without an answer."""
        now = self._engine.now()
        for found in self._abandon():
            self._note_failure(found, now, 'silent')

    def _abandon(self):
        """Close the connections of live sends and return the sends."""
        live, self._live = self._live, set()
        for found in live:
            found.abandon()
        return live

    @property
    def has_failed(self):
        """Whether it is over without an answer."""
        return self.state is State.FAILED

    def encode(self, state, now):
        """Return the request to a target as bytes."""
        return self._engine.dialect.encode_send(
            self.call, self.end_at - now, state.target.id
        )

    def accepts(self, reply):
        """Tell whether a reply belongs to the call."""
        return self._engine.dialect.belongs(self.call, reply)

    def on_reply(self, attempt, reply):
        """Take a target's reply."""
        self.on_verdict(attempt, self._engine.dialect.judge(reply), reply)

    def on_verdict(self, attempt, verdict, reply):
        """Take a target's reply and what it says.

        :param reply: None if a delegate kept a reply that is no answer.
        """
        self._live.discard(attempt)
        now = self._engine.now()
        if verdict is calls.Verdict.OK:
            self._take_answer(attempt, reply, now)
            return
        if verdict is calls.Verdict.NOT_RUN:
            self.runs -= 1
            self.tried.discard(attempt.state.target.id)
            attempt.state.add_latency(REFUSAL_SLOWNESS, now)
            self._retry(attempt, now, 'refused', was_run=False)
            return
        if verdict is calls.Verdict.MISDIRECTED:
            self.runs -= 1
            attempt.state.note_misplaced(now)
            self._engine.log.event(
                'target.misplaced',
                self.call.label,
                target=attempt.state.target.id,
                service=self.service,
            )
            self._retry(attempt, now, 'misdirected', was_run=False)
            return
        self._note_failure(attempt, now, verdict.value)
        if verdict is calls.Verdict.FAILED and self.state is State.RUNNING:
            self.reply = reply
        self.may_have_run = True
        reason = f'status {reply.status}' if reply else verdict.value
        self._retry(attempt, now, reason, was_run=True)

    def on_lost(self, attempt, was_sent, reason):
        """Take the end of a connection without a reply."""
        self._live.discard(attempt)
        now = self._engine.now()
        self._note_failure(attempt, now, reason)
        if was_sent:
            self.may_have_run = True
        else:
            self.runs -= 1
            self.unsent += 1
        self._retry(attempt, now, reason, was_run=was_sent)

    def on_delegate_lost(self, attempt, reason):
        """Take the end of a delegate; the target is not to blame."""
        self._live.discard(attempt)
        self.may_have_run = True
        self._retry(attempt, self._engine.now(), reason, was_run=True)

    def _take_answer(self, attempt, reply, now):
        seconds = now - attempt.started_at
        pace = self._pace
        attempt.state.succeed(now)
        attempt.state.add_latency(seconds / pace.usual_s, now)
        pace.add(seconds, now)
        if self.state is not State.RUNNING:
            # The other replies that came with it are incomplete without.
            if attempt.is_pruned:
                self.reply = reply
            return
        self.reply = reply
        self._finish(State.ANSWERED)

    def _note_failure(self, attempt, now, reason):
        state = attempt.state
        if state.fail(now):
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
        """Send again after a failure, if the route allows it."""
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
        if self._live:
            return
        if was_run and not self.route.is_idempotent:
            self._finish(State.FAILED)
            return
        self._send_or_wait()

    def _send_or_wait(self):
        now = self._engine.now()
        if now >= self.end_at or not self._may_send_more():
            self._finish(State.FAILED)
            return
        if self._send(now, is_hedge=False):
            return
        if now >= self.patient_until:
            self._finish(State.FAILED)
            return
        self._set_timer(now + RECHECK_S, self._send_or_wait)

    def _may_send_more(self):
        most = self.route.attempts + MAX_REFUSED_SENDS
        return self.runs < self.route.attempts and self.sends < most

    def _send(self, now, is_hedge):
        """Send to a target; return False if none can be had."""
        engine = self._engine
        batches = self._batches if self.sends == 0 else None
        preferred = batches.preferred if batches is not None else None
        state = engine.pick(self.service, self.tried, now, preferred)
        if state is None:
            self.reason = self.reason or 'no usable target'
            return False
        is_extra = self.sends > self.unsent
        if is_extra and not self._take_budget(now, is_hedge):
            self.reason = self.reason or 'no budget'
            return False
        attempt = batches.add(self, state, now) if batches else None
        if attempt is None:
            data = self.encode(state, now)
            attempt = attempts.Attempt(self, state, data, now)
            max_idle_s = None if self.route.is_idempotent else UNSAFE_IDLE_S
            if not attempt.send(max_idle_s):
                return False
        state.begin(attempt, now, self._pace.usual_s)
        self._live.add(attempt)
        self.tried.add(state.target.id)
        self.sends += 1
        self.runs += 1
        engine.count_send(is_extra)
        may_hedge = self.route.is_idempotent and self._may_send_more()
        if may_hedge or not attempt.was_sent:
            delay = self._pace.hedge_delay(now)
            self._set_timer(now + delay, self._hedge)
        return True

    def _take_budget(self, now, is_hedge):
        budget = self._engine.budget(self.service)
        if is_hedge:
            return budget.take_hedge(now, self._is_vital())
        return budget.take_retry(now)

    def _hedge(self):
        now = self._engine.now()
        if self.state is not State.RUNNING or now >= self.end_at:
            return
        self._give_up_connecting(now)
        if self._live and not self.route.is_idempotent:
            return
        if self._may_send_more():
            self._send(now, is_hedge=True)

    def _give_up_connecting(self, now):
        """End sends that still wait for their connection."""
        for attempt in [a for a in self._live if not a.was_sent]:
            self._live.discard(attempt)
            attempt.abandon()
            self.runs -= 1
            self.unsent += 1
            self._note_failure(attempt, now, 'connect')

    def _set_timer(self, when, callback=None):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if when is not None:
            self._timer = self._engine.timers.call_at(when, callback)

    def _finish(self, state):
        self._set_timer(None)
        self.state = state
        self._on_done(self)
