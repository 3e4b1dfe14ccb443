"""Random schedules of faults, which are the same in every run."""

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from savorycross import errors
from tests import deployments
from tests.scenarios import scenario_context

TARGETS = tuple(
    f'svc-{n}-{centre}' for n in (1, 2) for centre in deployments.DATA_CENTRES
)
ENTRIES = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
FAULTS = strategies.one_of(
    strategies.tuples(
        strategies.just('restart'), strategies.sampled_from(TARGETS)
    ),
    strategies.tuples(
        strategies.just('isolate'), strategies.sampled_from(ENTRIES)
    ),
    strategies.tuples(
        strategies.just('kill'), strategies.sampled_from(ENTRIES[1:])
    ),
    strategies.tuples(
        strategies.sampled_from(['down', 'up', 'heal', 'lose']),
        strategies.just(''),
    ),
    strategies.tuples(
        strategies.just('book'), strategies.sampled_from(ENTRIES)
    ),
)
SCHEDULES = strategies.lists(
    strategies.tuples(strategies.floats(0.0, 1.5), FAULTS),
    min_size=3,
    max_size=8,
)


class Schedule:
    """Inject faults into a deployment and record the outcomes of bookings."""

    def __init__(self, fabric, context):
        self._fabric = fabric
        self._context = context
        self.outcomes = []

    async def play(self, steps):
        for pause, (name, subject) in steps:
            await trio.sleep(pause)
            getattr(self, '_' + name)(subject)
        self._up('')
        self._heal('')
        await trio.sleep(8)

    def _restart(self, name):
        self._fabric.restart_target(name)

    def _isolate(self, name):
        for other in self._fabric.instances:
            if other != name and name in self._fabric.instances:
                self._fabric.cut(name, other)

    def _kill(self, name):
        if name in self._fabric.instances:
            self._fabric.kill(name)

    def _down(self, _):
        self._fabric.platform.faults.down = True

    def _up(self, _):
        self._fabric.platform.faults.down = False

    def _lose(self, _):
        self._fabric.platform.faults.lose_writes = 1

    def _heal(self, _):
        self._fabric.heal()

    def _book(self, entry):
        if entry in self._fabric.instances:
            self._context.nursery.start_soon(self._book_once, entry)

    async def _book_once(self, entry):
        """Book once; all bookings of a schedule share one key."""
        try:
            result = await deployments.book(self._fabric, entry, key='k')
            self.outcomes.append(str(result.outcome))
        except errors.SavorycrossError as exc:
            self.outcomes.append(exc.outcome)


@hypothesis.settings(
    max_examples=12, deadline=None, derandomize=True, database=None
)
@hypothesis.given(SCHEDULES)
def test_promises_hold_under_any_schedule(steps):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_run, steps, clock=clock)


async def _run(steps):
    async with deployments.open_deployment() as fabric:
        context = scenario_context.ScenarioContext(fabric=fabric)
        schedule = Schedule(fabric, context)
        async with trio.open_nursery() as nursery:
            context.nursery = nursery
            nursery.start_soon(context.send_queries, 'find', 20)
            await schedule.play(steps)
            nursery.cancel_scope.cancel()
        overloads = [t.record.cold_over for t in fabric.targets.values()]
        assert not sum(overloads)
        ran = len(deployments.bookings_run(fabric))
        assert ran <= 1
        assert ran == 1 or 'ran' not in schedule.outcomes
        for query_result in context.query_results:
            scenario_context.assert_coverage_is_consistent(query_result)
