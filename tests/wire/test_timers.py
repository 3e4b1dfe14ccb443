"""Tests of timers that share one task."""

import trio

from savorycross.wire import timers


async def test_callbacks_run_in_the_order_of_their_times(
    nursery, autojump_clock
):
    timer_queue = timers.Timers()
    nursery.start_soon(timer_queue.run)
    await trio.sleep(0)
    called = []
    now = trio.current_time()
    timer_queue.call_at(now + 2, lambda: called.append(2))
    timer_queue.call_at(now + 1, lambda: called.append(1))
    timer_queue.call_at(now + 1.5, lambda: called.append(None)).cancel()
    await trio.sleep(3)
    assert called == [1, 2]


async def test_failing_callback_does_not_stop_the_others(
    nursery, autojump_clock
):
    timer_queue = timers.Timers()
    nursery.start_soon(timer_queue.run)
    called = []
    now = trio.current_time()
    timer_queue.call_at(now + 1, lambda: 1 / 0)
    timer_queue.call_at(now + 1, lambda: called.append(1))
    await trio.sleep(2)
    assert called == [1]
