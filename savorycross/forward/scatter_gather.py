"""A call that goes to all services of a route; their parts are merged."""

import math

from savorycross.delegate import batcher
from savorycross.forward import fetch as fetches
from savorycross.forward import gather_start
from savorycross.forward import route_latency
from savorycross.forward import slot_wait
from savorycross.merge import records
from savorycross.overload import reachability

# Rounding error that a share of services may have as a float.
FLOAT_TOLERANCE = 1e-9


class ScatterGather:
    """Asks each service for its part and merges the parts.

    ``reason`` says why the call was refused, if it was.

    The answer is sent when all parts have arrived, or shortly before the
    latency objective if enough have; after that, as soon as enough have.

    :param engine: Engine.
    :param call: Call.
    :param route: Route whose services all answer.
    :param objective_at: runtime clock time of the latency objective.
    :param end_at: runtime clock time after which the call fails.
    :param on_end: called with the Reply and the name of the outcome.
    """

    def __init__(self, engine, call, route, objective_at, end_at, on_end):
        self._engine = engine
        self._call = call
        self._route = route
        self._on_end = on_end
        self._objective_at = objective_at
        self._end_at = end_at
        # A caller's retry may arrive after the objective of the call.
        wait_for_target_until = max(
            objective_at, call.received_at + route.objective_s
        )
        self._batcher = batcher.Batcher(engine, call, route, end_at, self)
        self._fetches = [
            fetches.Fetch(
                engine,
                call,
                route,
                name,
                end_at,
                wait_for_target_until,
                self._on_fetch_done,
                self._count_needed,
                self._batcher,
            )
            for name in route.services
        ]
        min_answers = route.min_coverage * len(self._fetches)
        self._min_answers = max(1, math.ceil(min_answers - FLOAT_TOLERANCE))
        self._answered = []
        self._failed = 0
        self._unlimited = []
        self._gather_start = None
        self._timers = ()
        self._is_over = False
        self._is_paused = False
        self.reason = ''

    def start(self):
        """Send the call to all services."""
        call_at = self._engine.timers.call_at
        answer_at = self._objective_at - route_latency.ANSWER_MARGIN_S
        self._timers = (
            call_at(answer_at, self._answer_if_enough),
            call_at(self._end_at, self.expire),
        )
        now = self._engine.now()
        outlooks = [
            self._engine.outlook(f.service, f.wait_for_target_until, now)
            for f in self._fetches
        ]
        return_at = reachability.find_return_at(outlooks, self._min_answers)
        for fetch, outlook in zip(self._fetches, outlooks, strict=True):
            if not outlook.is_reachable:
                fetch.reason = 'unreachable'
        if return_at is not None:
            self._refuse(return_at, 'unreachable')
            return
        self._start_fetches(outlooks)

    def _start_fetches(self, outlooks):
        """Start the fetches, as soon as the limits of targets allow enough."""
        limited, self._unlimited, full = [], [], []
        for fetch, outlook in zip(self._fetches, outlooks, strict=True):
            if not outlook.is_reachable:
                fetch.fail()
            elif outlook.tokens < math.inf:
                limited.append(fetch)
            else:
                self._unlimited.append(fetch)
                if outlook.is_full:
                    full.append(fetch)
        needed = _count_needed_full(outlooks, self._min_answers)
        if needed and not limited:
            self._wait_for_slots(full, needed)
            return
        self._gather_start = gather_start.GatherStart(
            self._engine,
            self._call,
            self._route,
            limited,
            self._min_answers - len(self._unlimited),
            self._objective_at,
            self._end_at,
            self._send_all,
            self._refuse_unsent,
        )
        self._gather_start.start()

    def _wait_for_slots(self, full, needed):
        """Start the fetches as soon as enough services have room.

        :param full: fetches of services without room.
        :param needed: number of them that are needed.
        """
        self._unlimited = [f for f in self._unlimited if f not in full]
        self._gather_start = slot_wait.SlotWait(
            self._engine,
            self._call,
            self._route,
            full,
            needed,
            self._objective_at,
            self._end_at,
            self._send_with_slots,
            lambda return_at: self._refuse(return_at, 'no slots'),
        )
        self._gather_start.start()

    def _send_with_slots(self, needed, others):
        """Start all fetches.

        :param needed: fetches whose services have room now.
        :param others: fetches of services that may have none.
        """
        self._unlimited += others
        self._send_all(needed, [])

    def _send_all(self, needed, dispensable):
        """Start all fetches.

        :param needed: fetches whose targets' limits allow a send now.
        :param dispensable: fetches of other limited targets.
        """
        for fetch in dispensable:
            fetch.is_dispensable = True
        for fetch in needed:
            if not self._is_over:
                fetch.start_in_turn()
        for fetch in dispensable + self._unlimited:
            if not self._is_over:
                fetch.start()
        if not self._is_over:
            self._batcher.send()

    def pause(self):
        """Collect parts without ending the call until ``resume``.

        The parts of one message of a delegate are only complete together.
        """
        self._is_paused = True

    def resume(self):
        """End the call if the parts collected since ``pause`` allow it."""
        self._is_paused = False
        self._finish_if_due()

    def cancel(self):
        """Abandon the call, as the caller is gone."""
        self._is_over = True
        self._stop_waiting()
        for timer in self._timers:
            timer.cancel()
        for fetch in self._fetches:
            fetch.cancel()
        self._release()

    def expire(self):
        """End the call with the parts that have arrived, if they suffice."""
        if not self._is_over:
            if self._has_enough:
                self._answer('partial')
            else:
                self._fail(504, 'timeout')
        for fetch in self._fetches:
            fetch.expire()

    @property
    def detail(self):
        """Names and values that explain the outcome, for the log."""
        missing = [f for f in self._fetches if f not in self._answered]
        missing.sort(key=lambda f: not f.reason)
        return {
            **({'reason': self.reason} if self.reason else {}),
            'parts': len(self._answered),
            'of': len(self._fetches),
            'sends': sum(f.sends for f in self._fetches),
            'missing': {f.service: f.reason or 'silent' for f in missing[:4]},
        }

    @property
    def _has_enough(self):
        return len(self._answered) >= self._min_answers

    @property
    def _can_reach_enough(self):
        return len(self._fetches) - self._failed >= self._min_answers

    def _count_needed(self):
        """Return how many further parts suffice for an answer."""
        return self._min_answers - len(self._answered)

    def _on_fetch_done(self, fetch):
        if fetch.state is fetches.State.ANSWERED:
            self._answered.append(fetch)
        else:
            self._failed += 1
        self._finish_if_due()

    def _finish_if_due(self):
        """End the call if all parts are decided or the objective is near."""
        if self._is_over or self._is_paused:
            return
        is_last = len(self._answered) + self._failed == len(self._fetches)
        if is_last or not self._can_reach_enough:
            self._finish()
        elif (
            self._engine.now()
            >= self._objective_at - route_latency.ANSWER_MARGIN_S
        ):
            self._answer_if_enough()

    def _answer_if_enough(self):
        if not self._is_over and self._has_enough:
            self._answer('partial')

    def _finish(self):
        if self._has_enough:
            is_complete = len(self._answered) == len(self._fetches)
            self._answer('answered' if is_complete else 'partial')
        else:
            self._fail(502, 'lost')

    def _fail(self, status, outcome):
        if not any(f.runs or f.may_have_run for f in self._fetches):
            self._refuse_unsent()
            return
        self._end(self._engine.dialect.make_refusal(status), outcome)
        for fetch in self._fetches:
            fetch.cancel()

    def _refuse_unsent(self):
        """Refuse the call, which has waited in vain."""
        reasons = (f.reason for f in self._fetches if f.reason)
        self._refuse(self._engine.now(), next(reasons, ''))

    def _refuse(self, return_at, reason):
        """Refuse the call, of which no target has run any part.

        :param return_at: runtime clock time at which it may succeed.
        """
        self.reason = reason
        for fetch in self._fetches:
            fetch.cancel()
        self._end(
            self._engine.make_refusal(
                self._call, self._route, return_at, self._end_at
            ),
            'refused',
        )

    def _answer(self, outcome):
        replies = [f.reply for f in self._answered]
        dialect = self._engine.dialect
        reply = dialect.make_merged(
            [dialect.stamp(r) for r in replies],
            len(self._fetches) - len(replies),
            records.merge_records(
                [r.body for r in replies], self._route.record_limit
            ),
        )
        self._end(reply, outcome)

    def _end(self, reply, outcome):
        self._is_over = True
        self._stop_waiting()
        self._timers[0].cancel()
        for fetch in self._fetches:
            fetch.close()
        self._on_end(reply, outcome)
        self._release()

    def _release(self):
        for fetch in self._fetches:
            fetch.release()

    def _stop_waiting(self):
        if self._gather_start is not None:
            self._gather_start.cancel()


def _count_needed_full(outlooks, min_answers):
    """Return how many of the services without room a call needs.

    Doubtful services are not counted on, unless it needs them in any case.

    :param outlooks: Outlooks of all services that the call asks.
    :param min_answers: services that must answer.

    >>> up = reachability.Outlook(True)
    >>> full = reachability.Outlook(True, is_full=True)
    >>> doubtful = reachability.Outlook(True, is_doubtful=True)
    >>> _count_needed_full([up, up, full], 2)
    0
    >>> _count_needed_full([up, doubtful, full], 2)
    1
    >>> _count_needed_full([up, doubtful, full], 3)
    1
    """
    full = sum(o.is_full and o.is_reachable for o in outlooks)
    if not full:
        return 0
    roomy = sum(o.is_reachable and not o.is_full for o in outlooks)
    doubtful = sum(
        o.is_reachable and o.is_doubtful and not o.is_full for o in outlooks
    )
    needed = min_answers - roomy + doubtful
    if needed > full:
        needed -= doubtful
    return min(max(needed, 0), full)
