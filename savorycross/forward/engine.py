"""The state that all calls of an instance share."""

import math
import random

import trio

from savorycross.forward import attempt
from savorycross.forward import budget as budgets
from savorycross.forward import call as calls
from savorycross.forward import route_latency as route_latencies
from savorycross.forward import target_state
from savorycross.locality import locality as localities
from savorycross.overload import reachability
from savorycross.overload import return_time
from savorycross.overload import share_views
from savorycross.overload import shares as limit_shares
from savorycross.overload import turn_chance
from savorycross.overload import waiting_line
from savorycross.wire import buffers as buffer_counts

MAX_ROUTE_LATENCIES = 2000
# How often waiting sends are tried again without an event that gives room.
RECHECK_INTERVAL_S = 0.02
# Waiting sends that are tried in a row without success. The first may lack a
# budget, or have tried the only target with room.
MAX_TURNS_WITHOUT_ROOM = 3
# A tenth of the answers take less than about this part of the mean latency.
LUCKY_PART = 0.6
# Failures of further services are counted together under 'other', which
# bounds the number of metrics.
MAX_COUNTED_SERVICES = 300


class Engine:
    """Targets, budgets and latencies on which calls base their decisions.

    ``rollouts`` holds the Rollout by the name of the service, for services
    that have one.

    :param settings: InstanceSettings.
    :param dialect: Dialect.
    :param target_registry: TargetRegistry.
    :param picker: Picker.
    :param delegates: DelegateSelector.
    :param timers: Timers.
    :param log: EventLog.
    :param metrics: metrics.registry.Registry.
    :param rates: TargetRates.
    :param now: callable that returns the runtime clock time in seconds.
    :param buffers: Buffers that count replies until their call ends, or None
        for some of its own.
    :param locality: Locality, or None for one with the default price.
    """

    def __init__(
        self,
        settings,
        dialect,
        target_registry,
        picker,
        delegates,
        timers,
        log,
        metrics,
        rates,
        now=trio.current_time,
        buffers=None,
        locality=None,
    ):
        self.dialect = dialect
        self.target_registry = target_registry
        self.delegates = delegates
        self.timers = timers
        self.log = log
        self.metrics = metrics
        self.rates = rates
        self.buffers = buffers or buffer_counts.Buffers()
        self.locality = locality or localities.Locality(
            settings.data_centre, random.Random(), log
        )
        self.rollouts = {}
        rates.subscribe(self.wake_line)
        self._now = now
        self._settings = settings
        self._picker = picker
        self._budgets = {}
        self._route_latencies = {}
        self._lines = {}
        self._line_timers = {}
        self._counted_services = set()
        self._views = share_views.ShareViews(
            limit_shares.LimitShares(
                settings.name, frozenset({settings.name})
            ),
            target_state.COLD_WINDOW_S + share_views.VIEW_SPREAD_S,
        )
        self._slack_from = self.now()
        self._is_successor = not settings.is_first_start
        if self._is_successor:
            nothing = limit_shares.LimitShares(settings.name, frozenset())
            self._views.retain(nothing, self.now())

    @property
    def data_centre(self):
        """This instance's data centre."""
        return self._settings.data_centre

    def now(self):
        """Return the runtime clock time in seconds."""
        return self._now()

    def update_settings(self, settings):
        """Apply changed settings.

        :param settings: InstanceSettings.
        """
        self._settings = settings
        for budget in self._budgets.values():
            budget.set_limits(settings.extra_send_limits)

    def set_shares(self, shares):
        """Set this instance's shares of the limits over all instances.

        The slack of an instance that becomes a sender grows gradually, as
        those that it replaces may have spent it.

        :param shares: LimitShares.
        """
        current = self._views.shares
        if shares == current:
            return
        if shares.is_sender and not current.is_sender:
            self._slack_from = self.now()
            self._is_successor = True
            for budget in self._budgets.values():
                budget.restart_slack(self._slack_from)
        self._views.replace(shares, self.now())
        self.target_registry.set_shares(shares)
        for budget in self._budgets.values():
            budget.set_fraction(shares.fraction)

    def budget(self, service):
        """Return the ExtraSendBudget of a service; it is made if needed."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.ExtraSendBudget(
                self._settings.extra_send_limits,
                self._slack_from,
                self._is_successor,
            )
            budget.set_fraction(self._views.shares.fraction)
            self._budgets[service] = budget
        return budget

    def make_refusal(self, call, route, return_at, end_at):
        """Return the Reply to a call that certainly did not run.

        :param return_at: runtime clock time at which it may succeed; a past
            one if nothing is known.
        :param end_at: runtime clock time of the call's deadline.
        """
        now = self.now()
        priorities = (route.priority,)
        if call.workspace is not None:
            priorities = call.urgency(route)
        return_s = return_time.choose_return_s(
            return_at - now, end_at - now, priorities, call.id
        )
        return self.dialect.make_refusal(503, return_s)

    def outlook(self, service, until, now):
        """Return the reachability.Outlook of a service.

        :param until: runtime clock time until which a send is of use.
        :param now: runtime clock time in seconds.
        """
        states = self.target_registry.list_usable(service)
        wanting = [s for s in states if not s.is_paused(now)]
        if states and not wanting:
            retry_at = min(s.paused_until for s in states)
            return reachability.Outlook(retry_at <= until, retry_at)
        reachable = [s for s in wanting if not s.is_unreachable(now)]
        if not reachable:
            retry_at = min(
                (s.unreachable_until for s in wanting), default=math.inf
            )
            return reachability.Outlook(False, retry_at)
        turn_at = self.rates.expect_turn(
            reachable, len(self.line(service)), now
        )
        is_in_time = turn_at <= until or self.rates.may_borrow(reachable, now)
        tokens = self.rates.count_tokens(reachable, now)
        if _has_sure_room(reachable, now):
            return reachability.Outlook(is_in_time, turn_at, tokens)
        return reachability.Outlook(
            is_in_time,
            turn_at,
            tokens,
            not _has_room(reachable, now),
            all(s.is_doubtful for s in reachable),
        )

    def expect_latency_s(self, service):
        """Return the latency of the fastest target with sends in flight.

        :returns: seconds; 0 if it is not known.
        """
        states = self.target_registry.list_usable(service)
        return min(
            (s.expect_latency_s() for s in states if s.outstanding),
            default=0.0,
        )

    def find_prospect(self, service, send, late_at, now):
        """Return the turn_chance.Prospect of a send in a service's line.

        :param send: see ``waiting_line.WaitingLine``.
        :param late_at: runtime clock time from which on sends that arrive
            later go first.
        :returns: None if the send does not wait, or not for slots only.
        """
        line = self.line(service)
        if send not in line or self.is_limited(service):
            return None
        place = send.place()
        urgency = place.urgency
        ahead, older = line.count_before(send)
        states = self.target_registry.list_usable(service)
        if _has_room(states, now):
            return None
        states = [s for s in states if not s.is_ejected(now)] or states
        fastest_s = self.expect_latency_s(service)
        rate_per_s = sum(s.estimate_rate() for s in states)
        return turn_chance.Prospect(
            rate_per_s or math.inf,
            line.arrivals.estimate_above(urgency, now),
            line.arrivals.estimate(urgency, now),
            ahead,
            older,
            late_at - now,
            place.end_at - now - LUCKY_PART * fastest_s,
        )

    def expect_turn(self, service, now):
        """Return when the targets of a service allow one more send.

        The sends that wait already go first.

        :returns: runtime clock time in seconds.
        """
        states = self.target_registry.list_usable(service)
        wanting = [s for s in states if not s.is_paused(now)]
        if states and not wanting:
            return min(s.paused_until for s in states)
        return self.rates.expect_turn(wanting, len(self.line(service)), now)

    def is_paused(self, service, now):
        """Return whether all targets of a service want nothing now."""
        states = self.target_registry.list_usable(service)
        return bool(states) and all(s.is_paused(now) for s in states)

    def count_tokens(self, service, now):
        """Return how many sends the limits of a service's targets allow now.

        :returns: number with fractions; infinity if any states no limit.
        """
        states = self.target_registry.list_usable(service)
        return self.rates.count_tokens(states, now)

    def may_borrow(self, service, now):
        """Return whether another instance may lend a token for a service."""
        states = self.target_registry.list_usable(service)
        wanting = [s for s in states if not s.is_paused(now)]
        return self.rates.may_borrow(wanting, now)

    def line(self, service):
        """Return the WaitingLine of a service; it is made if needed."""
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = waiting_line.WaitingLine()
        return line

    def join_line(self, service, send, now):
        """Let a send wait in the line of a service.

        :param send: see ``waiting_line.WaitingLine``.
        """
        self.line(service).join(send)
        self._schedule_recheck(service, now)

    def advance_line(self, service, now):
        """Let waiting sends of a service go ahead as far as there is room.

        :param now: runtime clock time in seconds.
        """
        timer = self._line_timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        line = self.line(service)
        while (send := _find_turn(line, now)) is not None:
            line.record_turn(send)
        if line:
            self._schedule_recheck(service, now)

    def wake_line(self, service):
        """Advance the line of a service soon, if any sends wait in it."""
        line = self._lines.get(service)
        if not line:
            return
        timer = self._line_timers.get(service)
        if timer is not None:
            timer.cancel()
        self._line_timers[service] = self.timers.call_at(
            self.now(), lambda: self.advance_line(service, self.now())
        )

    def route_latency(self, route):
        """Return the RouteLatency of a route; it is made if needed."""
        latency = self._route_latencies.get(route.name)
        if latency is None:
            if len(self._route_latencies) >= MAX_ROUTE_LATENCIES:
                self._route_latencies.clear()
            latency = route_latencies.RouteLatency(route.objective_s)
            self._route_latencies[route.name] = latency
        return latency

    def pick(
        self,
        service,
        tried,
        now,
        preferred=None,
        keeps_reserve=False,
        draw=None,
    ):
        """Return the TargetState of the target to send to, or None.

        :param service: name of the service.
        :param tried: ids of targets that are excluded.
        :param now: runtime clock time in seconds.
        :param preferred: data centre that is preferred among the remote
            ones, or None.
        :param keeps_reserve: whether the send has to leave tokens of limited
            targets for sends that are needed more.
        :param draw: see ``locality.Locality.choose``.
        """
        picked = self._pick(
            service, tried, now, preferred, keeps_reserve, draw
        )
        if picked is None and not keeps_reserve:
            self.borrow(service, now, tried)
        return picked

    def may_start(self, service, now):
        """Return whether a first send to a service is allowed now."""
        return self._pick(service, frozenset(), now) is not None

    def has_room(self, service, now):
        """Return whether a target of a service that may answer has room."""
        states = self.target_registry.list_usable(service)
        return _has_room(states, now) and self.may_start(service, now)

    def borrow(self, service, now, tried=frozenset()):
        """Ask other instances for tokens of targets that have room.

        :param tried: ids of targets that are excluded.
        """
        states = [
            s
            for s in self.target_registry.list_usable(service)
            if s.target.id not in tried
            and s.has_room
            and not s.is_unreachable(now)
            and not s.is_paused(now)
            and self._is_cold_send_allowed(s, now)
        ]
        self.rates.borrow(states, len(self.line(service)) + 1, now)

    def is_limited(self, service):
        """Return whether all targets of a service state limits."""
        states = self.target_registry.list_usable(service)
        return self.rates.are_limited(states)

    def may_send(self, state, now, keeps_reserve=False):
        """Return whether the limits of a target allow one more send.

        :param state: TargetState of the target.
        :param now: runtime clock time in seconds.
        :param keeps_reserve: see ``pick``.
        """
        return (
            not state.is_paused(now)
            and self.rates.may_send(state, now, keeps_reserve)
            and self._is_cold_send_allowed(state, now)
        )

    def record_send(self, state, kind, now, is_paid=False):
        """Count a send toward the limits of its target and in the metrics.

        :param state: TargetState of the target.
        :param kind: SendKind.
        :param now: runtime clock time in seconds.
        :param is_paid: whether another instance has counted it toward the
            rate that the target states.
        :returns: whether the rate that the target states allowed it.
        """
        state.record_send(now)
        is_limited = state.rate.is_limited
        if not is_paid:
            is_paid = self.rates.take(state, now)
        if kind is not attempt.SendKind.DELEGATED:
            is_first = kind is attempt.SendKind.FIRST
            self.metrics.count('sends', kind='first' if is_first else 'extra')
            if state.target.data_centre != self.data_centre:
                self.locality.record_send(state, kind.value)
        if is_limited:
            self.metrics.count('limited_sends', kind=kind.value)
        return is_paid

    def record_bytes(self, state, count):
        """Count the bytes of a request and its reply over a link.

        :param state: TargetState of the target.
        """
        if state.target.data_centre != self.data_centre:
            self.locality.record_bytes(state, count)

    def count_exposure(self, state, is_first):
        """Count a send of a call toward the roll-out of its service.

        :param is_first: whether it is the first send for the call.
        """
        rollout = self.rollouts.get(state.target.service)
        if rollout is not None:
            rollout.record_send(state, is_first)

    def record_answer(self, route, attempt, has_failed, now):
        """Record how a send ended, for the roll-out of its service.

        :param attempt: Attempt.
        :param has_failed: whether the target has answered with a failure.
        """
        rollout = self.rollouts.get(attempt.state.target.service)
        if rollout is not None:
            seconds = now - attempt.started_at
            rollout.record_answer(
                route.name, attempt.state, seconds, has_failed, now
            )

    def record_lost(self, attempt, was_sent, now):
        """Record the loss of a connection, for the roll-out of its service.

        :param attempt: Attempt.
        :param was_sent: whether its request may have been sent.
        """
        rollout = self.rollouts.get(attempt.state.target.service)
        if rollout is not None:
            rollout.record_lost(
                attempt.state, attempt.started_at, was_sent, now
            )

    def read_statement(self, state, verdict, reply, sent_at):
        """Take in what a target's reply says about the requests it takes.

        :param state: TargetState of the target.
        :param verdict: Verdict on the reply.
        :param sent_at: runtime clock time at which the request was sent.
        """
        if verdict is calls.Verdict.MISDIRECTED:
            # Another target has sent it.
            return
        if self.dialect.is_leaving(reply):
            self.record_leaving(state)
        self.record_pause(state, self.dialect.read_pause_s(reply))
        rate_per_s = self.dialect.read_rate_limit(reply)
        self.record_statement(state, verdict, rate_per_s, sent_at)

    def record_statement(self, state, verdict, rate_per_s, sent_at):
        """Record what a target says about its rate of requests.

        A refusal can state a limit; one without says nothing.

        :param rate_per_s: requests a second that the target takes from all
            instances together, or None if it states no limit.
        """
        is_answer = verdict in (calls.Verdict.OK, calls.Verdict.FAILED)
        is_limit = rate_per_s is not None and verdict is calls.Verdict.NOT_RUN
        if not is_answer and not is_limit:
            return
        self.rates.record_statement(state, rate_per_s, sent_at, self.now())

    def record_pause(self, state, pause_s):
        """Record that a target wants nothing for some time, as it says.

        :param pause_s: seconds from now on; 0 if it says nothing.
        """
        if pause_s <= 0:
            return
        now = self.now()
        state.pause(now + pause_s)
        self.metrics.count('target_pauses')
        self.log.event(
            'target.paused',
            target=state.target.id,
            service=state.target.service,
            for_s=round(state.paused_until - now, 3),
        )
        # Its sends may be able to go elsewhere, or have to be refused.
        self.wake_line(state.target.service)

    def record_leaving(self, state):
        """Record that a target gets no new requests, as it says itself."""
        if state.is_leaving:
            return
        state.is_leaving = True
        self.log.event(
            'target.leaving',
            target=state.target.id,
            service=state.target.service,
        )

    def count_failure(self, service, reason):
        """Count a send without an answer in the metrics.

        :param reason: text whose part before a colon is the cause.
        """
        if service not in self._counted_services:
            if len(self._counted_services) < MAX_COUNTED_SERVICES:
                self._counted_services.add(service)
            else:
                service = 'other'
        cause = reason.partition(':')[0]
        self.metrics.count('send_failures', service=service, cause=cause)

    def count_exhausted_budgets(self, now):
        """Return the number of services that allow no extra send."""
        return sum(b.is_exhausted(now) for b in self._budgets.values())

    def count_waiting(self):
        """Return the number of sends that wait for a target with room."""
        return sum(len(line) for line in self._lines.values())

    def prune(self, now):
        """Drop idle budgets and lines, and close idle connections.

        A budget is idle if nothing was counted in it for a whole window and
        its slack is full.
        """
        self.delegates.prune(now)
        self.locality.prune(now)
        self._budgets = {
            service: budget
            for service, budget in self._budgets.items()
            if not budget.is_idle(now)
        }
        self._lines = {
            service: line for service, line in self._lines.items() if line
        }

    def _schedule_recheck(self, service, now):
        if service not in self._line_timers:
            self._line_timers[service] = self.timers.call_at(
                now + RECHECK_INTERVAL_S,
                lambda: self.advance_line(service, self.now()),
            )

    def _pick(
        self,
        service,
        tried,
        now,
        preferred=None,
        keeps_reserve=False,
        draw=None,
    ):
        states = self.target_registry.list_usable(service)
        if not tried:
            # A first send leaves the reserve of limited targets for the
            # retries and hedges of those that do not answer.
            keeps_reserve = keeps_reserve or any(
                not s.rate.is_limited and s.has_room and not s.is_ejected(now)
                for s in states
            )
        leaving_for = self.locality.choose(service, states, draw, now)
        rollout = self.rollouts.get(service)
        groups = (states,)
        if rollout is not None:
            groups = rollout.list_groups(states, not tried, now)
        for group in groups:
            picked = self._picker.pick(
                group,
                tried,
                now,
                lambda s: self.may_send(s, now, keeps_reserve),
                preferred,
                leaving_for,
            )
            if picked is not None:
                return picked
        return None

    def _is_cold_send_allowed(self, state, now):
        """Return whether the limit of sends to a cold target allows one."""
        if not state.is_cold(now):
            return True
        limit = self._cold_limit(state, self._views.binding(now))
        return state.count_recent_sends(now) + 1 <= limit

    def _cold_limit(self, state, binding):
        """Return this instance's limit of sends a second to a cold target."""
        declared = self.target_registry.find_service(state.target.service)
        if declared is None or not declared.cold_rate_per_s:
            return math.inf
        limits = self._settings.cold_send_limits
        total = declared.cold_rate_per_s * limits.overage + limits.slack
        return min(view.units(total, state.target.id) for view in binding)


def _has_sure_room(states, now):
    """Return whether a target that probably answers has room."""
    for state in states:
        is_sure = not state.unreachable_until and state.ejected_until <= now
        if is_sure and state.has_room:
            return True
    return False


def _has_room(states, now):
    """Return whether a target that may be chosen has room.

    Ejected and doubtful targets count only if there are no others.
    """
    sure = [s for s in states if not s.is_ejected(now) and not s.is_doubtful]
    return any(s.has_room for s in sure or states)


def _find_turn(line, now):
    """Let a waiting send go ahead; return it, or None if there is no room."""
    for send in line.ordered()[:MAX_TURNS_WITHOUT_ROOM]:
        if send.try_turn(now):
            return send
    return None
