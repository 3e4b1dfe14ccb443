"""Copying the mirror of a peer."""

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
class FakePeerState:
    """The state of a peer that has seen a newer store revision."""

    peer: heartbeat.Peer
    has_store: bool


class DisconnectedFollower:
    """A follower whose store does not answer."""

    is_connected = False


class ConnectedFollower:
    """A follower whose store answers; counts restarts."""

    is_connected = True

    def __init__(self, is_watching):
        self.is_watching = is_watching
        self.restarts = 0

    def restart(self):
        """Count the restart."""
        self.restarts += 1


class FakePeerRegistry:
    """A registry in which one peer is always ahead of this instance."""

    def find_ahead(self, revision, now):
        """Return the state of that peer."""
        return FakePeerState(None, True)


async def _copy_mirror(nursery, has_store):
    """Return a mirror with an item of its own, after a copy from a peer."""
    theirs = mirror.Mirror(lambda key, value: None)
    theirs.apply(item.Item('a', 3, b'x'), 0.0)
    theirs.revision = 9
    peer_server = server.Server(mirror_sync.make_handler(theirs), nursery)
    address = ('127.0.0.1', 20931)
    nursery.start_soon(peer_server.run, address)
    await trio.testing.wait_all_tasks_blocked()
    mine = mirror.Mirror(lambda key, value: None)
    mine.apply(item.Item('gone', 2, b'x'), 0.0)
    mine.is_complete = True
    tested = mirror_sync.MirrorSynchronizer(
        mine,
        DisconnectedFollower(),
        None,
        null_log.NullLog(),
        lambda: None,
        nursery,
    )
    peer = heartbeat.Peer('p', 1, 'bilbo', address, address)
    await tested._copy_from(FakePeerState(peer, has_store))
    return mine


async def test_copy_from_a_connected_peer_removes_items_it_lacks(nursery):
    mine = await _copy_mirror(nursery, has_store=True)
    assert sorted(mine.items) == ['a']
    assert mine.revision == 9


async def test_copy_from_a_disconnected_peer_needs_a_listing(nursery):
    mine = await _copy_mirror(nursery, has_store=False)
    assert sorted(mine.items) == ['a', 'gone']
    assert not mine.is_complete


@pytest.mark.parametrize('is_watching', [True, False])
async def test_silent_watch_is_restarted_but_not_a_pause(
    nursery, autojump_clock, is_watching
):
    follower = ConnectedFollower(is_watching)
    tested = mirror_sync.MirrorSynchronizer(
        mirror.Mirror(lambda key, value: None),
        follower,
        FakePeerRegistry(),
        null_log.NullLog(),
        lambda: None,
        nursery,
    )
    nursery.start_soon(tested.run)
    await trio.sleep(3.0)
    assert bool(follower.restarts) == is_watching
