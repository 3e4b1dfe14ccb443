"""State that the steps of a scenario share, and the run of a scenario."""

import dataclasses
import functools
import inspect
import math

import pytest_bdd
import trio
import trio.testing

from savorycross.entry import request
from savorycross import errors
from savorycross.merge import coverage as coverages
from tests import deployments

TIMEOUT_S = 600.0


@dataclasses.dataclass
class QueryResult:
    """The answer or the error that a caller received for one query.

    :param started_at: when the query was sent; runtime clock, seconds.
    :param duration_s: time until the answer or error, in seconds.
    """

    started_at: float
    duration_s: float
    answer: request.QueryAnswer | None = None
    error: errors.SavorycrossError | None = None

    @property
    def coverage(self):
        """The coverage that the answer or the error states."""
        if self.answer is not None:
            return self.answer.coverage
        coverage = getattr(self.error, 'coverage', None)
        return coverage or coverages.Coverage(0, 0)


@dataclasses.dataclass
class ScenarioContext:
    """The state of a running scenario.

    :param options: arguments of ``open_deployment``.
    :param sheet: arguments of ``make_sheet``.
    :param query_results: QueryResult of each query that has ended, in the
        order in which they ended.
    :param booking_outcomes: outcomes of bookings by key or name of the ticket.
    :param saved: times and tickets that steps have saved, by name.
    :param errors: errors that operators received for their sheets.
    """

    options: dict = dataclasses.field(default_factory=dict)
    sheet: dict = dataclasses.field(default_factory=dict)
    fabric: object = None
    nursery: object = None
    query_results: list = dataclasses.field(default_factory=list)
    booking_outcomes: dict = dataclasses.field(default_factory=dict)
    saved: dict = dataclasses.field(default_factory=dict)
    stores: dict = dataclasses.field(default_factory=dict)
    errors: list = dataclasses.field(default_factory=list)

    async def query(self, entry, workload, **fields):
        """Send a query and record its QueryResult."""
        started_at = trio.current_time()
        query_result = QueryResult(started_at, 0.0)
        try:
            query_result.answer = await deployments.query(
                self.fabric, entry, workload, **fields
            )
        except errors.SavorycrossError as exc:
            query_result.error = exc
        query_result.duration_s = trio.current_time() - started_at
        self.query_results.append(query_result)
        return query_result

    async def send_queries(self, workload, rate):
        """Send queries through all running instances until the end.

        :param rate: queries per second.
        """
        for number in range(1_000_000):
            await trio.sleep(1 / rate)
            available = [
                n
                for n, i in sorted(self.fabric.instances.items())
                if not i.leaving
            ]
            entry = available[number % len(available)]
            self.nursery.start_soon(self.query, entry, workload)

    def results_since(self, label):
        """Return the QueryResults of queries sent since a saved time."""
        start = self.saved.get(label, -math.inf)
        return [r for r in self.query_results if r.started_at >= start]


def run_scenario(script):
    """Run the steps of a scenario on a paused clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_run_scenario, script, clock=clock)


async def _run_scenario(script):
    context = ScenarioContext()
    given_steps = [s for s in script if s.phase == 'given']
    other_steps = [s for s in script if s.phase != 'given']
    with trio.fail_after(TIMEOUT_S):
        for step in given_steps:
            await step(context)
        sheet = deployments.make_sheet(**context.sheet)
        async with deployments.open_deployment(
            sheet, **context.options
        ) as fabric:
            context.fabric = fabric
            async with trio.open_nursery() as nursery:
                context.nursery = nursery
                for step in other_steps:
                    await step(context)
                nursery.cancel_scope.cancel()


class RecordedStep:
    """A step of a scenario that is run after all steps were read.

    :param phase: ``given``, ``when`` or ``then``.
    """

    def __init__(self, phase, step_function):
        self.phase = phase
        self._step_function = step_function

    async def __call__(self, context):
        """Run the step."""
        await self._step_function(context)


def step(kind, pattern, **converters):
    """Return a decorator that registers an async function as a step.

    The step is recorded while pytest-bdd reads the scenario, and run
    afterwards. The function takes the ScenarioContext and the fields of the
    pattern.

    :param kind: ``given``, ``when`` or ``then``.
    :param pattern: pattern of the step's text.
    :param converters: converters of fields by name.
    """
    parser = pytest_bdd.parsers.parse(pattern, converters or None)
    register = {
        'given': pytest_bdd.given,
        'when': pytest_bdd.when,
        'then': pytest_bdd.then,
    }[kind]

    def decorate(step_function):
        names = list(inspect.signature(step_function).parameters)[1:]

        def record_step(script, **fields):
            script.append(
                RecordedStep(kind, functools.partial(step_function, **fields))
            )

        record_step.__signature__ = inspect.Signature(
            [
                inspect.Parameter(n, inspect.Parameter.POSITIONAL_OR_KEYWORD)
                for n in ('script', *names)
            ]
        )
        record_step.__name__ = step_function.__name__
        return register(parser, stacklevel=2)(record_step)

    return decorate


def assert_coverage_is_consistent(query_result):
    """Assert that a stated coverage agrees with the records received."""
    coverage = query_result.coverage
    if not coverage.asked:
        return
    assert coverage.answered + len(coverage.missed) == coverage.asked
    missed = {m.shard for m in coverage.missed}
    assert len(missed) == len(coverage.missed)
    if query_result.answer is None:
        return
    answered = {_shard_name(r.id) for r in query_result.answer.records}
    assert len(answered) == coverage.answered
    assert not answered & missed


def _shard_name(record_id):
    service, _, shard, _ = record_id.split('/')
    return f'{service}/{shard}'
