"""Timers that share one task."""

import trio

from savorycross.wire import timers


async def test_callbacks_run_in_the_order_of_their_times(
    nursery, autojump_clock
):
    found = timers.Timers()
    nursery.start_soon(found.run)
    await trio.sleep(0)
    ran = []
    now = trio.current_time()
    found.call_at(now + 2, lambda: ran.append(2))
    found.call_at(now + 1, lambda: ran.append(1))
    found.call_at(now + 1.5, lambda: ran.append(None)).cancel()
    await trio.sleep(3)
    assert ran == [1, 2]


async def test_failing_callback_does_not_stop_the_others(
    nursery, autojump_clock
):
    found = timers.Timers()
    nursery.start_soon(found.run)
    ran = []
    now = trio.current_time()
    found.call_at(now + 1, lambda: 1 / 0)
    found.call_at(now + 1, lambda: ran.append(1))
    await trio.sleep(2)
    assert ran == [1]
