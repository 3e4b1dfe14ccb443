"""Following the store."""

import pytest
import trio

from savorycross.discovery import follower
from savorycross.discovery import mirror
from tests.discovery import fakes
from tests import null_log

SETTLED_S, APPLIED_S = 4.0, 3.0
TIMING = follower.make_timing(SETTLED_S, APPLIED_S)


@pytest.fixture
async def world(nursery):
    store = fakes.FakeStore()
    store.put_value('a', b'1')
    copy = mirror.Mirror(lambda key, found: None)
    found = follower.Follower(store, copy, null_log.NullLog(), TIMING)
    nursery.start_soon(found.run)
    await trio.sleep(1)
    return store, copy, found


async def test_listing_and_watch_bring_all_items(world, autojump_clock):
    store, copy, _ = world
    store.put_value('b', b'2')
    await trio.sleep(1)
    assert sorted(copy.items) == ['a', 'b']


async def test_lost_history_is_listed_anew(world, autojump_clock):
    store, copy, _ = world
    store.is_down = True
    store.put_value('b', b'2')
    store.remove('a')
    store.forget()
    await trio.sleep(3)
    store.is_down = False
    await trio.sleep(3)
    copy.apply_due_removals(trio.current_time())
    assert sorted(copy.items) == ['b']


async def test_outage_keeps_what_is_known(world, autojump_clock):
    store, copy, found = world
    store.is_down = True
    store.put_value('b', b'2')
    await trio.sleep(30)
    assert sorted(copy.items) == ['a']
    assert not found.is_connected


async def test_quiet_store_gets_few_calls(world, autojump_clock):
    store, _, _ = world
    store.calls.clear()
    await trio.sleep(60)
    assert len(store.calls) <= 60 / TIMING.wait_s + 1


async def test_incomplete_copy_is_completed_by_a_listing(
    world, autojump_clock
):
    store, copy, _ = world
    store.is_down = True
    store.put_value('b', b'2')
    await trio.sleep(1)
    store.remove('a')
    copy.revision = store.revision
    copy.is_complete = False
    store.is_down = False
    await trio.sleep(5)
    copy.apply_due_removals(trio.current_time())
    assert sorted(copy.items) == ['b']


async def test_many_instances_read_a_burst_of_changes_with_few_calls(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    copy = mirror.Mirror(lambda key, found: None)
    found = follower.Follower(
        store, copy, null_log.NullLog(), TIMING, count=lambda: 28
    )
    nursery.start_soon(found.run)
    await trio.sleep(1)
    store.calls.clear()
    for n in range(50):
        store.put_value(f'k{n}', b'x')
        await trio.sleep(0.1)
    await trio.sleep(APPLIED_S / 2)
    assert len(copy.items) == 50
    assert len(store.calls) <= 8


@pytest.mark.parametrize('is_lacking', [True, False])
async def test_missing_targets_are_looked_for_more_often_after_a_start(
    nursery, autojump_clock, is_lacking
):
    store = fakes.FakeStore()
    copy = mirror.Mirror(lambda key, found: None)
    found = follower.Follower(
        store,
        copy,
        null_log.NullLog(),
        TIMING,
        count=lambda: 28,
        is_lacking=lambda: is_lacking,
    )
    nursery.start_soon(found.run)
    calls = []
    for n in range(200):
        store.put_value(f'k{n}', b'x')
        await trio.sleep(0.1)
        if trio.current_time() > 10 and not calls:
            calls.append(len(store.calls))
    calls.append(len(store.calls))
    urgent = follower.URGENT_S / follower.COALESCE_S
    assert (calls[0] > 0.8 * urgent) == is_lacking
    assert calls[1] - calls[0] <= 10


async def test_watch_that_died_in_an_outage_ends_before_changes_count(
    world, autojump_clock
):
    store, copy, _ = world
    store.is_silent = True
    await trio.sleep(TIMING.wait_s)
    # The outage ends just after the watch began anew.
    store.is_silent = False
    store.put_value('b', b'2')
    await trio.sleep(SETTLED_S + APPLIED_S)
    assert sorted(copy.items) == ['a', 'b']


@pytest.mark.parametrize('applied_s', [3.0, 5.0, 20.0])
async def test_many_instances_take_a_change_within_its_bound(
    nursery, autojump_clock, applied_s
):
    store = fakes.FakeStore()
    copy = mirror.Mirror(lambda key, found: None)
    timing = follower.make_timing(SETTLED_S, applied_s)
    found = follower.Follower(
        store, copy, null_log.NullLog(), timing, count=lambda: 3200
    )
    nursery.start_soon(found.run)
    await trio.sleep(1)
    store.put_value('a', b'1')
    await trio.sleep(0.1)
    store.put_value('b', b'2')
    await trio.sleep(applied_s / 2)
    assert 'b' in copy.items


@pytest.mark.parametrize('settled_s', [0.0, 4.0, 5.0, 100.0])
@pytest.mark.parametrize('applied_s', [0.0, 3.0, 5.0, 100.0])
def test_watch_ends_before_changes_count_again(settled_s, applied_s):
    found = follower.make_timing(settled_s, applied_s)
    assert found.wait_s >= follower.SHORTEST_WAIT_S
    assert found.wait_s <= follower.LONGEST_WAIT_S
    if found.wait_s == follower.SHORTEST_WAIT_S:
        return
    latest = found.wait_s + follower.WATCH_GRACE_S + found.pause_most_s
    assert latest < settled_s + applied_s
