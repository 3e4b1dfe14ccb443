"""Tasks that fail unexpectedly."""

import pytest
import trio

from savorycross.gateway import supervisor
from savorycross.metrics import registry


async def test_task_that_fails_is_started_again(nursery, autojump_clock):
    starts = []
    metrics = registry.Registry()

    async def fail_twice():
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise RuntimeError('broken')
        await trio.sleep_forever()

    kept = supervisor.Supervisor(metrics)
    nursery.start_soon(kept.keep_running, 'tested', fail_twice)
    await trio.sleep(10)
    assert len(starts) == 3
    assert 'task_restarts{task="tested"} 2' in metrics.render()


async def test_task_that_always_fails_is_not_started_too_often(
    nursery, autojump_clock
):
    starts = []

    async def fail():
        starts.append(trio.current_time())
        raise RuntimeError('broken')

    kept = supervisor.Supervisor(registry.Registry())
    nursery.start_soon(kept.keep_running, 'tested', fail)
    await trio.sleep(60)
    assert 20 < len(starts) < 40


async def fail_with(*errors):
    """Raise an error, or several at once as a nursery does."""
    if len(errors) == 1:
        raise errors[0]
    raise ExceptionGroup('several', errors)


# Guards against a process that ends as one connection's task fails.
@pytest.mark.parametrize(
    'errors',
    [
        (RuntimeError('broken'),),
        (MemoryError(),),
        (ValueError('first'), trio.BusyResourceError('second')),
    ],
)
async def test_task_that_fails_in_a_guarded_nursery_ends_only_itself(
    nursery, errors
):
    metrics = registry.Registry()
    guarded = supervisor.GuardedNursery(nursery, metrics)
    guarded.start_soon(fail_with, *errors)
    await trio.testing.wait_all_tasks_blocked()
    assert not nursery.cancel_scope.cancel_called
    assert 'task_failures{task="fail_with"} 1' in metrics.render()


# Guards against a stop that a task's error turns into a failure.
async def test_task_that_fails_as_it_is_cancelled_does_not_fail_the_stop(
    autojump_clock,
):
    metrics = registry.Registry()

    async def fail_when_cancelled():
        async with trio.open_nursery() as inner:
            inner.start_soon(trio.sleep_forever)
            try:
                await trio.sleep_forever()
            finally:
                raise RuntimeError('broken')

    async with trio.open_nursery() as nursery:
        guarded = supervisor.GuardedNursery(nursery, metrics)
        kept = supervisor.Supervisor(metrics)
        guarded.start_soon(fail_when_cancelled)
        guarded.start_soon(kept.keep_running, 'kept', fail_when_cancelled)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    (series,) = metrics.counters
    assert series.startswith('savorycross_task_failures')


async def test_cancelled_task_of_a_guarded_nursery_is_no_failure():
    metrics = registry.Registry()
    async with trio.open_nursery() as nursery:
        guarded = supervisor.GuardedNursery(nursery, metrics)
        guarded.start_soon(trio.sleep_forever)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert not metrics.counters
