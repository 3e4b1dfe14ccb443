"""Keeps the sends of this instance within the rates that targets state.

Instances tell each other what targets state, and lend each other tokens; see
``rate.protocol``.
"""

import math

from savorycross.overload import share_views
from savorycross.overload import shares as limit_shares
from savorycross.rate import protocol


class TargetRates:
    """The rates of all targets, and this instance's parts of them.

    :param own_name: name of this instance.
    :param is_successor: whether another process may have run in its place,
        whose sends still count.
    :param target_registry: TargetRegistry.
    :param send: callable that takes the name of an instance and a
        RateMessage; it may lose it.
    :param rng: random.Random.
    :param log: EventLog.
    :param now: runtime clock time in seconds.
    """

    def __init__(
        self, own_name, is_successor, target_registry, send, rng, log, now
    ):
        self._own_name = own_name
        self._target_registry = target_registry
        self._send = send
        self._rng = rng
        self._log = log
        self._views = share_views.ShareViews(
            limit_shares.LimitShares(own_name, frozenset({own_name})),
            share_views.VIEW_SPREAD_S,
        )
        if is_successor:
            nothing = limit_shares.LimitShares(own_name, frozenset())
            self._views.retain(nothing, now)
        self._on_change = lambda service: None

    def subscribe(self, on_change):
        """Set the callable that hears which service may have got tokens.

        :param on_change: callable that takes the name of a service.
        """
        self._on_change = on_change

    def set_shares(self, shares, now):
        """Set which instances hold parts of the rates.

        :param shares: LimitShares.
        """
        if shares != self._views.shares:
            self._views.replace(shares, now)

    def may_send(self, state, now, keeps_reserve=False):
        """Return whether the rate of a target allows one more send.

        :param state: TargetState of the target.
        :param keeps_reserve: see ``RateLimiter.may_send``.
        """
        binding = self._views.binding(now)
        if state.rate.may_send(binding, now, keeps_reserve):
            return True
        if not keeps_reserve:
            state.rate.record_lack(now)
        return False

    def take(self, state, now):
        """Count a send; return whether it was within a stated rate."""
        return state.rate.take(self._views.binding(now), now)

    def are_limited(self, states):
        """Return whether there are targets and all of them state limits."""
        return bool(states) and all(s.rate.is_limited for s in states)

    def count_tokens(self, states, now):
        """Return how many sends the targets of a service allow now.

        :returns: number with fractions; infinity if any states no limit.
        """
        if not self.are_limited(states):
            return math.inf
        binding = self._views.binding(now)
        return sum(s.rate.expect(binding, now, now) for s in states)

    def expect_turn(self, states, waiting, now):
        """Return when the targets of a service allow one more send.

        The parts of this instance count, or an equal part of the rates if it
        holds less; the latter is what it gets in the long run if all
        instances lack tokens.

        :param waiting: number of sends that go before it.
        :returns: runtime clock time in seconds.
        """
        missing = waiting + 1 - self.count_tokens(states, now)
        if missing <= 0:
            return now
        binding = self._views.binding(now)
        part_per_s = sum(s.rate.rate_per_s(binding, now) for s in states)
        total_per_s = sum(s.rate.statement.rate_per_s for s in states)
        equal_per_s = total_per_s / max(len(binding[0].senders), 1)
        rate_per_s = max(part_per_s, equal_per_s)
        return now + missing / rate_per_s if rate_per_s else math.inf

    def may_borrow(self, states, now):
        """Return whether another instance may have tokens for a target."""
        return any(
            s.rate.is_limited
            and not s.rate.borrowing.is_paused(now)
            and self._list_lenders(s)
            for s in states
        )

    def borrow(self, states, wanted, now):
        """Ask other instances for tokens.

        :param states: TargetStates of the targets to which one may be sent.
        :param wanted: number of tokens that are of use.
        """
        limited = [s for s in states if s.rate.is_limited]
        wanted -= sum(s.rate.borrowing.is_waiting(now) for s in limited)
        for state in limited:
            if wanted <= 0:
                return
            lender = state.rate.borrowing.choose(
                self._list_lenders(state), self._rng, now
            )
            if lender is not None:
                wanted -= 1
                self._send_row(lender, state, now, tokens=1, is_request=True)

    def record_statement(self, state, rate_per_s, sent_at, now):
        """Record what an answer of a target says, and tell the others.

        :param rate_per_s: limit in the answer, or None.
        :param sent_at: runtime clock time at which its request was sent.
        """
        stated = state.rate.statement.update(rate_per_s, sent_at, now)
        self._adopt(state, stated, now)
        if not state.rate.is_due_to_tell(now):
            return
        state.rate.record_told(now)
        for name in self._views.shares.senders - {self._own_name}:
            self._send_row(name, state, now)

    def on_message(self, message, now):
        """Handle a RateMessage of another instance."""
        lent = []
        for row in message.rows:
            state = self._target_registry.find(row.target)
            if state is None:
                continue
            stated = row.read_statement(now)
            if stated.sent_at > state.rate.statement.sent_at:
                self._adopt(state, stated, now)
                state.rate.record_told(now)
            if message.is_request:
                lent.append(self._lend(state, row.tokens, now))
            elif state.rate.borrowing.record_reply(
                message.sender, row.tokens, now
            ):
                state.rate.borrow(row.tokens, now)
                self._on_change(state.target.service)
        if lent:
            self._send_rows(message.sender, lent)

    def _lend(self, state, wanted, now):
        tokens = state.rate.lend(wanted, self._views.binding(now), now)
        stated = state.rate.statement
        return protocol.make_row(state.target.id, stated, now, tokens)

    def _adopt(self, state, stated, now):
        """Replace the Statement of a target, and log a change of its limit."""
        if not state.rate.record(stated, self._views.binding(now), now):
            return
        rate_per_s = stated.rate_per_s
        self._log.event(
            'target.limited' if rate_per_s is not None else 'target.freed',
            target=state.target.id,
            service=state.target.service,
            rate_per_s=rate_per_s,
        )
        self._on_change(state.target.service)

    def _list_lenders(self, state):
        """Return the other instances that have a part of a target's rate."""
        holders = state.rate.list_holders(self._views.shares)
        return [name for name in holders if name != self._own_name]

    def _send_row(self, name, state, now, tokens=0, is_request=False):
        stated = state.rate.statement
        row = protocol.make_row(state.target.id, stated, now, tokens)
        self._send_rows(name, [row], is_request)

    def _send_rows(self, name, rows, is_request=False):
        message = protocol.RateMessage(
            protocol.FORMAT, self._own_name, is_request, tuple(rows)
        )
        self._send(name, message)
