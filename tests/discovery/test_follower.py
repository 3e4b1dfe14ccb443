"""Following the store with listings and watches."""

import pytest
import trio

from savorycross.discovery import follower
from savorycross.discovery import mirror
from savorycross import errors
from tests.discovery import fakes
from tests import null_log
from tests import recording_log

RECOVERY_S, CHANGE_DEADLINE_S = 4.0, 3.0
TIMING = follower.make_timing(RECOVERY_S, CHANGE_DEADLINE_S)


@pytest.fixture
async def world(nursery):
    store = fakes.FakeStore()
    store.put_value('a', b'1')
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(store, copy, null_log.NullLog(), TIMING)
    nursery.start_soon(tested.run)
    await trio.sleep(1)
    return store, copy, tested


async def test_listing_and_watch_bring_all_items(world, autojump_clock):
    store, copy, _ = world
    store.put_value('b', b'2')
    await trio.sleep(1)
    assert sorted(copy.items) == ['a', 'b']


async def test_dropped_history_leads_to_a_new_listing(world, autojump_clock):
    store, copy, _ = world
    store.is_down = True
    store.put_value('b', b'2')
    store.remove('a')
    store.drop_history()
    await trio.sleep(3)
    store.is_down = False
    await trio.sleep(3)
    copy.apply_held_changes(trio.current_time())
    assert sorted(copy.items) == ['b']


async def test_outage_keeps_the_known_items(world, autojump_clock):
    store, copy, tested = world
    store.is_down = True
    store.put_value('b', b'2')
    await trio.sleep(30)
    assert sorted(copy.items) == ['a']
    assert not tested.is_connected


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
    copy.revision = fakes.at(store.revision)
    copy.is_complete = False
    store.is_down = False
    await trio.sleep(5)
    copy.apply_held_changes(trio.current_time())
    assert sorted(copy.items) == ['b']


async def test_store_without_history_gets_few_calls(world, autojump_clock):
    store, _, _ = world
    store.has_history = False
    store.put_value('b', b'2')
    await trio.sleep(1)
    store.calls.clear()
    await trio.sleep(30)
    assert len(store.calls) <= 2 * 30 / follower.MAX_RETRY_DELAY_S


async def test_many_instances_read_a_burst_of_changes_with_few_calls(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(
        store, copy, null_log.NullLog(), TIMING, count_watchers=lambda: 28
    )
    nursery.start_soon(tested.run)
    await trio.sleep(1)
    store.calls.clear()
    for n in range(50):
        store.put_value(f'k{n}', b'x')
        await trio.sleep(0.1)
    await trio.sleep(CHANGE_DEADLINE_S / 2)
    assert len(copy.items) == 50
    assert len(store.calls) <= 8


@pytest.mark.parametrize('has_missing_targets', [True, False])
async def test_pauses_are_short_after_a_start_while_targets_are_missing(
    nursery, autojump_clock, has_missing_targets
):
    store = fakes.FakeStore()
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(
        store,
        copy,
        null_log.NullLog(),
        TIMING,
        count_watchers=lambda: 28,
        has_missing_targets=lambda: has_missing_targets,
    )
    nursery.start_soon(tested.run)
    calls = []
    for n in range(200):
        store.put_value(f'k{n}', b'x')
        await trio.sleep(0.1)
        if trio.current_time() > 10 and not calls:
            calls.append(len(store.calls))
    calls.append(len(store.calls))
    urgent_calls = follower.URGENT_PERIOD_S / follower.MIN_PAUSE_S
    assert (calls[0] > 0.8 * urgent_calls) == has_missing_targets
    assert calls[1] - calls[0] <= 10


async def test_dead_watch_of_an_outage_ends_before_bounds_apply_again(
    world, autojump_clock
):
    store, copy, _ = world
    store.is_silent = True
    await trio.sleep(TIMING.wait_s)
    # The outage ends just after a watch that began during it, so this watch
    # stays silent.
    store.is_silent = False
    store.put_value('b', b'2')
    await trio.sleep(RECOVERY_S + CHANGE_DEADLINE_S)
    assert sorted(copy.items) == ['a', 'b']


# Guards against an instance that hears of nothing while the store is slow.
async def test_changes_arrive_from_a_slow_store(world, autojump_clock):
    store, copy, _ = world
    store.delay_s = 2.0
    for n in range(5):
        store.put_value(f'k{n}', b'2')
        await trio.sleep(10)
        assert f'k{n}' in copy.items


@pytest.mark.parametrize('change_deadline_s', [3.0, 5.0, 20.0])
async def test_many_instances_apply_a_change_within_its_bound(
    nursery, autojump_clock, change_deadline_s
):
    store = fakes.FakeStore()
    copy = mirror.Mirror(lambda key, value: None)
    timing = follower.make_timing(RECOVERY_S, change_deadline_s)
    tested = follower.Follower(
        store, copy, null_log.NullLog(), timing, count_watchers=lambda: 3200
    )
    nursery.start_soon(tested.run)
    await trio.sleep(1)
    store.put_value('a', b'1')
    await trio.sleep(0.1)
    store.put_value('b', b'2')
    await trio.sleep(change_deadline_s / 2)
    assert 'b' in copy.items


@pytest.mark.parametrize('recovery_s', [0.0, 4.0, 5.0, 100.0])
@pytest.mark.parametrize('change_deadline_s', [0.0, 3.0, 5.0, 100.0])
def test_watch_ends_before_bounds_apply_again(recovery_s, change_deadline_s):
    timing = follower.make_timing(recovery_s, change_deadline_s)
    assert timing.wait_s >= follower.MIN_WAIT_S
    assert timing.wait_s <= follower.MAX_WAIT_S
    if timing.wait_s == follower.MIN_WAIT_S:
        return
    latest_s = timing.wait_s + follower.WATCH_GRACE_S + timing.max_pause_s
    assert latest_s < recovery_s + change_deadline_s


async def test_listing_tells_the_revision_known_before(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    store.put_value('a', b'1')
    copy = mirror.Mirror(lambda key, value: None)
    copy.revision = fakes.at(1)
    log = recording_log.RecordingLog()
    tested = follower.Follower(store, copy, log, TIMING)
    nursery.start_soon(tested.run)
    await trio.sleep(1)
    (fields,) = log.fields('store.listed')
    assert (fields['known_revision'], fields['revision']) == (
        fakes.at(1),
        fakes.at(2),
    )


async def test_change_after_the_store_was_restored_is_applied(
    world, autojump_clock
):
    store, copy, _ = world
    older = store.make_copy()
    store.put_value('b', b'confirmed')
    store.put_value('c', b'lost')
    await trio.sleep(1)
    store.restore(older)
    store.put_value('b', b'newer')
    await trio.sleep(CHANGE_DEADLINE_S)
    assert copy.items['b'].value == b'newer'
    assert copy.revision == fakes.at(store.revision, era=2)


async def test_restored_store_is_logged_with_both_eras(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    log = recording_log.RecordingLog()
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(store, copy, log, TIMING)
    nursery.start_soon(tested.run)
    await trio.sleep(1)
    store.restore(store.make_copy())
    store.put_value('a', b'1')
    await trio.sleep(1)
    (fields,) = log.fields('store.restored')
    assert fields['known_revision'] == fakes.at(1)
    assert fields['revision'] == fakes.at(2, era=2)


async def test_listing_across_a_restore_is_read_again(nursery, autojump_clock):
    store = fakes.FakeStore()
    for key in 'abc':
        store.put_value(key, b'1')
    store.page_size = 2
    older = store.make_copy()
    store.remove('a')
    read_page = store.read_page

    async def restore_after_first_page(after):
        page = await read_page(after)
        if store.era == 1:
            store.restore(older)
        return page

    store.read_page = restore_after_first_page
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(store, copy, null_log.NullLog(), TIMING)
    nursery.start_soon(tested.run)
    await trio.sleep(1)
    assert sorted(copy.items) == ['a', 'b', 'c']
    assert {i.revision.era for i in copy.items.values()} == {2}


# Guards against starts that never end beside a store that refuses calls.
async def test_listing_goes_on_where_it_failed(nursery, autojump_clock):
    store = fakes.FakeStore()
    for n in range(20):
        store.put_value(f'k{n:02}', b'1')
    store.page_size = 1
    read_page = store.read_page

    async def read_every_third_page(after):
        page = await read_page(after)
        if len(store.calls) % 3:
            raise errors.StoreUnavailableError('busy')
        return page

    store.read_page = read_every_third_page
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(store, copy, null_log.NullLog(), TIMING)
    nursery.start_soon(tested.run)
    await trio.sleep(20)
    # What an earlier page told may be out of date by now.
    store.remove('k00')
    store.put_value('k01', b'2')
    await trio.sleep(40)
    copy.apply_held_changes(trio.current_time())
    assert sorted(copy.items) == [f'k{n:02}' for n in range(1, 20)]
    assert copy.items['k01'].value == b'2'
    assert copy.is_complete


async def test_listing_that_failed_is_dropped_with_its_history(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    for key in 'abc':
        store.put_value(key, b'1')
    store.page_size = 2
    copy = mirror.Mirror(lambda key, value: None)
    tested = follower.Follower(store, copy, null_log.NullLog(), TIMING)
    read_page = store.read_page

    async def fail_second_page(after):
        page = await read_page(after)
        if store.calls.count('list') == 2:
            store.remove('a')
            store.drop_history()
            raise errors.StoreUnavailableError('busy')
        return page

    store.read_page = fail_second_page
    nursery.start_soon(tested.run)
    await trio.sleep(10)
    copy.apply_held_changes(trio.current_time())
    assert sorted(copy.items) == ['b', 'c']


async def test_late_reply_of_the_era_before_changes_nothing(
    world, autojump_clock
):
    store, copy, _ = world
    store.restore(store.make_copy())
    store.put_value('a', b'2')
    await trio.sleep(1)
    store.era = 1
    store.put_value('a', b'late')
    await trio.sleep(1)
    assert copy.items['a'].value == b'2'
    assert copy.revision.era == 2


async def test_era_that_reached_the_same_number_again_is_noticed(
    world, autojump_clock
):
    store, copy, _ = world
    older = store.make_copy()
    store.put_value('a', b'confirmed')
    await trio.sleep(1)
    store.is_down = True
    store.restore(older)
    store.put_value('a', b'another')
    await trio.sleep(2)
    store.is_down = False
    await trio.sleep(CHANGE_DEADLINE_S / 2)
    assert copy.items['a'].value == b'another'
    assert copy.revision == fakes.at(store.revision, era=2)


async def test_instance_that_begins_to_watch_notices_a_restore(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    store.put_value('a', b'1')
    copy = mirror.Mirror(lambda key, value: None)
    is_on_duty = True
    tested = follower.Follower(
        store,
        copy,
        null_log.NullLog(),
        TIMING,
        is_on_duty=lambda now: is_on_duty,
    )
    nursery.start_soon(tested.run)
    older = store.make_copy()
    store.put_value('a', b'confirmed')
    await trio.sleep(1)
    is_on_duty = False
    await trio.sleep(TIMING.wait_s)
    store.restore(older)
    store.put_value('a', b'another')
    is_on_duty = True
    await trio.sleep(CHANGE_DEADLINE_S / 2)
    assert copy.items['a'].value == b'another'


# Guards against a listing of many pages, or with an outage in between, that
# counts as newer than its first page.
async def test_listing_tells_when_its_first_page_was_asked_for(
    nursery, autojump_clock
):
    store = fakes.FakeStore()
    store.page_size = 1
    for key in ('a', 'b'):
        store.put_value(key, b'1')
    copy = mirror.Mirror(lambda key, item: _fail_after(store, key))
    listed = []
    tested = follower.Follower(
        store,
        copy,
        null_log.NullLog(),
        TIMING,
        on_listed=lambda sent_at: listed.append(
            (sent_at, trio.current_time(), sorted(copy.items))
        ),
    )
    store.is_down = True
    nursery.start_soon(tested.run)
    await trio.sleep(2.0)
    store.is_down = False
    await trio.sleep(2.0)
    assert not listed
    store.is_down = False
    await trio.sleep(3.0)
    ((sent_at, listed_at, keys),) = listed
    assert 2.0 <= sent_at <= 3.1 and listed_at >= 4.0
    assert keys == ['a', 'b']


def _fail_after(store, key):
    """Let the store fail after the first page."""
    store.is_down = key == 'a'


# Guards against a mirror that seems outdated while watches end with changes.
@pytest.mark.parametrize('change_interval_s', [None, 3.5, 4.25])
async def test_answered_watch_tells_how_current_the_mirror_is(
    world, autojump_clock, change_interval_s
):
    store, copy, _ = world
    for n in range(80):
        await trio.sleep(0.25)
        if change_interval_s and not n % int(change_interval_s * 4):
            store.put_value('a', b'%d' % n)
        age_s = copy.age_s(trio.current_time())
        longest_s = TIMING.wait_s + TIMING.max_pause_s
        assert age_s <= longest_s + follower.WATCH_GRACE_S + 0.1
    store.is_down = True
    store.put_value('b', b'2')
    lost_at = trio.current_time()
    await trio.sleep(30)
    assert copy.age_s(trio.current_time()) >= trio.current_time() - lost_at
