"""Copies of a peer's mirror."""

import dataclasses

import pytest
import trio

from savorycross.discovery import item
from savorycross.discovery import mirror
from savorycross.fleet import heartbeat
from savorycross.fleet import mirror_sync
from savorycross.wire import server
from tests import null_log


@dataclasses.dataclass
class Ahead:
    """A peer that has seen more."""

    peer: heartbeat.Peer
    has_store: bool


class Down:
    """A follower without a store."""

    is_connected = False


class Connected:
    """A follower of the store that counts restarts."""

    is_connected = True

    def __init__(self, is_watching):
        self.is_watching = is_watching
        self.restarts = 0

    def restart(self):
        """Count."""
        self.restarts += 1


class PeersAhead:
    """Peers of which one has always seen more of the store."""

    def fresher(self, revision, now):
        """Return it."""
        return Ahead(None, True)


async def _copy(nursery, has_store):
    theirs = mirror.Mirror(lambda key, found: None)
    theirs.apply(item.Item('a', 3, b'x'), 0.0)
    theirs.revision = 9
    found = server.Server(mirror_sync.make_handler(theirs), nursery)
    address = ('127.0.0.1', 20931)
    nursery.start_soon(found.run, address)
    await trio.testing.wait_all_tasks_blocked()
    mine = mirror.Mirror(lambda key, found: None)
    mine.apply(item.Item('gone', 2, b'x'), 0.0)
    mine.is_complete = True
    tested = mirror_sync.MirrorSynchronizer(
        mine, Down(), None, null_log.NullLog(), lambda: None, nursery
    )
    peer = heartbeat.Peer('p', 1, 'bilbo', address, address)
    await tested._copy(Ahead(peer, has_store))
    return mine


async def test_copy_of_a_connected_peer_removes_what_it_lacks(nursery):
    mine = await _copy(nursery, has_store=True)
    assert sorted(mine.items) == ['a']
    assert mine.revision == 9


async def test_copy_must_be_completed_by_a_listing(nursery):
    mine = await _copy(nursery, has_store=False)
    assert sorted(mine.items) == ['a', 'gone']
    assert not mine.is_complete


@pytest.mark.parametrize('is_watching', [True, False])
async def test_silent_watch_is_restarted_but_no_pause(
    nursery, autojump_clock, is_watching
):
    follower = Connected(is_watching)
    tested = mirror_sync.MirrorSynchronizer(
        mirror.Mirror(lambda key, found: None),
        follower,
        PeersAhead(),
        null_log.NullLog(),
        lambda: None,
        nursery,
    )
    nursery.start_soon(tested.run)
    await trio.sleep(3.0)
    assert bool(follower.restarts) == is_watching
