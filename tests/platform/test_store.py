"""The client of the platform's store, against a stand-in."""

import pytest
import trio

from savorycross.discovery import item
from savorycross import errors
from savorycross.platform import store
from savorycross.wire import messages
from standins import kv_model
from standins import kv_server

ADDRESS = ('127.0.0.1', 20941)


@pytest.fixture
async def world(nursery):
    """Return the model of a store, and a client of it."""
    model = kv_model.KvModel()
    served = kv_server.KvServer(model, nursery)
    nursery.start_soon(served.run, ADDRESS)
    await trio.testing.wait_all_tasks_blocked()
    return model, store.PlatformStore(ADDRESS, nursery)


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
