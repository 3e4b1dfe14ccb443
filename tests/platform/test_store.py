"""The client of the platform's store, against a stand-in."""

import contextlib

import pytest
import trio

from savorycross.discovery import item
from savorycross import errors
from savorycross.platform import store
from savorycross.wire import messages
from standins import kv_model
from standins import kv_server
from standins import loopback

ADDRESS = loopback.find_address()
SILENT_S = 60.0


@pytest.fixture
async def server(nursery):
    """Return a server of the model of a store."""
    served = kv_server.KvServer(kv_model.KvModel(), nursery)
    nursery.start_soon(served.run, ADDRESS)
    await trio.testing.wait_all_tasks_blocked()
    return served


@pytest.fixture
async def world(server, nursery):
    """Return the model of a store, and a client of it."""
    return server.model, store.PlatformStore(ADDRESS, nursery)


async def test_revisions_are_of_the_era_that_answers_name(world):
    model, client = world
    older = model.make_copy()
    model.put('op/config', b'1')
    page = await client.read_page('')
    assert page.revision == item.Revision(1, 2)
    model.restore(older)
    model.put('op/config', b'2')
    page = await client.watch(item.Revision(1, 1), 1.0)
    assert page.revision == item.Revision(2, 2)
    assert [i.revision for i in page.items] == [item.Revision(2, 2)]


async def test_restored_store_lacks_the_history_of_a_later_revision(world):
    model, client = world
    older = model.make_copy()
    model.put('op/config', b'1')
    model.restore(older)
    with pytest.raises(errors.HistoryGoneError):
        await client.watch(item.Revision(1, 2), 1.0)


def test_reply_without_an_era_is_of_the_one_before():
    client = store.PlatformStore(ADDRESS, None)
    assert client._read_era(messages.Reply(200)) == 0
    era = (b'Store-Era', b'3')
    assert client._read_era(messages.Reply(200, (era,))) == 3
    assert client._read_era(messages.Reply(200)) == 3
    for endless in (b'9' * 19, b'9' * 5000):
        reply = messages.Reply(200, ((b'Store-Era', endless),))
        assert client._read_era(reply) == 3


# Guards against calls of silent outages that stay silent after them and hold
# the connections which later calls need.
async def test_calls_of_silent_outages_leave_connections_to_later_ones(
    server, world
):
    model, client = world
    for number in range(4):
        server.delay_s = SILENT_S
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(_watch_in_vain, client)
        server.delay_s = 0.0
        model.put('op/config', b'%d' % number)
        page = await client.watch(item.Revision(1, 1 + number), 1.0)
        assert [i.value for i in page.items] == [b'%d' % number]
        await client.open_lease(1.0)
    assert client.connection_count <= 2


async def _watch_in_vain(client):
    with trio.move_on_after(0.05) as scope:
        await client.watch(item.Revision(1, 1), 1.0)
    assert scope.cancelled_caught


# Guards against an instance that starts beside a slow store and serves
# nothing.
async def test_listing_of_a_slow_store_is_awaited(server, world):
    model, client = world
    model.put('op/config', b'1')
    server.delay_s = 2.0
    pages = []
    for _ in range(4):
        with contextlib.suppress(errors.StoreUnavailableError):
            pages.append(await client.read_page(''))
    assert len(pages) >= 2


async def test_listing_on_a_silent_connection_is_soon_repeated(server, world):
    _, client = world
    server.delay_s = SILENT_S
    with pytest.raises(errors.StoreUnavailableError):
        await client.read_page('')
    server.delay_s = 0.0
    await client.read_page('')
    server.delay_s = SILENT_S
    with trio.fail_after(2.0), pytest.raises(errors.StoreUnavailableError):
        await client.read_page('')


# Guards against an error in the task that follows the store.
async def test_listing_that_goes_on_after_an_empty_page_is_no_reply(
    server, world, monkeypatch
):
    _, client = world
    monkeypatch.setattr(kv_server, 'MAX_ITEMS_PER_PAGE', -1)
    with pytest.raises(errors.StoreUnavailableError):
        await client.read_page('')


# Guards against a writer that overwrites what another has written meanwhile.
async def test_keys_are_written_only_if_none_has_changed(world):
    model, client = world
    number = model.put('status/rollout/s', b'1')
    revisions = {'status/rollout/s': item.Revision(1, number)}
    values = {'status/rollout/s': b'2', 'savorycross/rollouts/s': b'3'}
    expected = revisions | {'savorycross/rollouts/s': item.NO_REVISION}
    assert await client.compare_and_put(values, expected)
    assert model.items['status/rollout/s'].value == b'2'
    assert not await client.compare_and_put(values, expected)
    model.put('savorycross/rollouts/s', b'4')
    assert not await client.compare_and_put(values, revisions)
    assert model.items['savorycross/rollouts/s'].value == b'4'


async def test_refused_write_is_unavailable(world):
    with pytest.raises(errors.StoreUnavailableError):
        await world[1].compare_and_put({'op/config': b'1'}, {})


# Guards against confirmations that wait for a change, or bring other keys.
async def test_changes_of_a_key_come_at_once_and_alone(world):
    model, client = world
    model.put('op/config', b'1')
    model.put('servers/a', b'2')
    with trio.fail_after(1.0):
        page = await client.read_changes('op/config', item.Revision(1, 1))
        quiet = await client.read_changes('op/config', page.revision)
    assert [(i.key, i.value) for i in page.items] == [('op/config', b'1')]
    assert page.revision == quiet.revision == item.Revision(1, 3)
    assert not quiet.items
    page = await client.read_key('op/config')
    assert [i.value for i in page.items] == [b'1']
