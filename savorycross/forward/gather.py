"""A call that all services of a set answer, each with a part."""

import math

from savorycross.delegate import batcher
from savorycross.forward import call as calls
from savorycross.forward import fetch as fetches
from savorycross.forward import pace
from savorycross.merge import records

# Error of a share of services as a float.
ROUNDING = 1e-9


class Gather:
    """Asks each service for its part and merges the parts.

    The answer goes out when all parts are in, or shortly before the
    objective if enough of them are; after the objective, as soon as
    enough are.

    :param engine: Engine.
    :param route: Route whose services all answer.
    :param objective_at: runtime clock time of the latency objective.
    :param on_end: called with the Reply and an outcome name.
    """

    def __init__(self, engine, call, route, objective_at, end_at, on_end):
        self._engine = engine
        self._route = route
        self._on_end = on_end
        self._objective_at = objective_at
        self._end_at = end_at
        # A repeated call may come after its objective.
        patient_until = max(objective_at, call.received_at + route.objective_s)
        self._batches = batcher.Batcher(engine, call, route, end_at, self)
        self._fetches = [
            fetches.Fetch(
                engine,
                call,
                route,
                name,
                end_at,
                patient_until,
                self._done,
                self._is_vital,
                self._batches,
            )
            for name in route.services
        ]
        share = route.min_coverage * len(self._fetches)
        self._needed = max(1, math.ceil(share - ROUNDING))
        self._answered = []
        self._failed = 0
        self._timers = ()
        self._is_over = False
        self._is_paused = False

    def start(self):
        """Ask all services."""
        call_at = self._engine.timers.call_at
        answer_at = self._objective_at - pace.ANSWER_MARGIN_S
        self._timers = (
            call_at(answer_at, self._answer_if_enough),
            call_at(self._end_at, self._time_out),
        )
        for found in self._fetches:
            if self._is_over:
                return
            found.start()
        self._batches.send()

    def pause(self):
        """Take answers without a decision until ``resume``."""
        self._is_paused = True

    def resume(self):
        """Decide on the answers that came meanwhile."""
        self._is_paused = False
        self._check()

    def cancel(self):
        """Stop, as the caller is gone."""
        self._is_over = True
        for timer in self._timers:
            timer.cancel()
        for found in self._fetches:
            found.cancel()

    @property
    def detail(self):
        """Names and values that explain the outcome."""
        missing = [f for f in self._fetches if f not in self._answered]
        return {
            'parts': len(self._answered),
            'of': len(self._fetches),
            'sends': sum(f.sends for f in self._fetches),
            'missing': {f.service: f.reason or 'silent' for f in missing[:4]},
        }

    @property
    def _is_enough(self):
        return len(self._answered) >= self._needed

    @property
    def _is_reachable(self):
        return len(self._fetches) - self._failed >= self._needed

    def _is_vital(self):
        """Whether too many parts are still out for an answer."""
        return not self._is_enough

    def _done(self, fetch):
        if fetch.state is fetches.State.ANSWERED:
            self._answered.append(fetch)
        else:
            self._failed += 1
        self._check()

    def _check(self):
        """End the call if it is time."""
        if self._is_over or self._is_paused:
            return
        is_last = len(self._answered) + self._failed == len(self._fetches)
        if is_last or not self._is_reachable:
            self._finish()
        elif self._engine.now() >= self._objective_at - pace.ANSWER_MARGIN_S:
            self._answer_if_enough()

    def _answer_if_enough(self):
        if not self._is_over and self._is_enough:
            self._answer('partial')

    def _time_out(self):
        if not self._is_over:
            if self._is_enough:
                self._answer('partial')
            else:
                self._fail(504, 'timeout')
        for found in self._fetches:
            found.expire()

    def _finish(self):
        if self._is_enough:
            whole = len(self._answered) == len(self._fetches)
            self._answer('answered' if whole else 'partial')
        else:
            self._fail(502, 'lost')

    def _fail(self, status, outcome):
        dialect = self._engine.dialect
        if not any(f.runs or f.may_have_run for f in self._fetches):
            reply = dialect.make_refusal(503, calls.RETRY_AFTER_S)
            outcome = 'refused'
        else:
            reply = dialect.make_refusal(status)
        self._end(reply, outcome)
        for found in self._fetches:
            found.cancel()

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
        self._timers[0].cancel()
        self._on_end(reply, outcome)
