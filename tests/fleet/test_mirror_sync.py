"""Copying the mirror of a peer."""

import dataclasses
import types

import pytest
import trio

from savorycross.discovery import item
from savorycross.discovery import mirror
from savorycross.fleet import heartbeat
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_registry
from savorycross.wire import server
from standins import loopback
from tests.discovery import fakes
from tests.fleet import test_peer_registry
from tests import null_log
from tests import recording_log


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


class FakeDuty:
    """A duty to watch that counts how often it was forced."""

    def __init__(self, is_on=True):
        self.forced = 0
        self._is_on = is_on

    def is_on(self, now):
        """Return whether this instance is to watch."""
        return self._is_on

    def force(self, now):
        """Count the call."""
        self.forced += 1


class FakePeerRegistry:
    """A registry in which one peer is always ahead of this instance."""

    def find_ahead(self, revision, now, excluded=frozenset()):
        """Return the state of that peer."""
        return FakePeerState(None, True)

    def find_newer_configuration(self, version, now):
        """Return None."""
        return None


async def _copy_mirror(nursery, is_complete, log=null_log.NullLog()):
    """Return a mirror with an item of its own, after a copy from a peer."""
    theirs = mirror.Mirror(lambda key, value: None)
    theirs.apply(item.Item('a', fakes.at(3), b'x'), 0.0)
    if is_complete:
        theirs.retain({'a'}, fakes.at(9), 0.0)
    else:
        theirs.forget_removals(fakes.at(9))
    theirs.revision = fakes.at(9)
    theirs.is_complete = is_complete
    peer_server = server.Server(mirror_sync.make_handler(theirs), nursery)
    address = loopback.find_address()
    nursery.start_soon(peer_server.run, address)
    await trio.testing.wait_all_tasks_blocked()
    mine = mirror.Mirror(lambda key, value: None)
    mine.apply(item.Item('gone', fakes.at(2), b'x'), 0.0)
    mine.is_complete = True
    tested = mirror_sync.MirrorSynchronizer(
        mine,
        DisconnectedFollower(),
        FakeDuty(),
        None,
        log,
        lambda: None,
        nursery,
    )
    tested._behind_since = trio.current_time() - 1.0
    peer = heartbeat.Peer('p', 1, 'bilbo', address, address)
    await tested._copy_from(FakePeerState(peer, True))
    return mine


async def test_copy_of_a_complete_mirror_removes_items_it_lacks(nursery):
    mine = await _copy_mirror(nursery, is_complete=True)
    assert sorted(mine.items) == ['a']
    assert mine.revision == fakes.at(9)


async def test_copy_tells_for_how_long_the_instance_was_behind(nursery):
    log = recording_log.RecordingLog()
    await _copy_mirror(nursery, is_complete=True, log=log)
    (fields,) = log.fields('mirror.copied')
    assert 1.0 <= fields['behind_s'] < 2.0


async def test_copy_of_an_incomplete_mirror_needs_a_listing(nursery):
    mine = await _copy_mirror(nursery, is_complete=False)
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
        FakeDuty(),
        FakePeerRegistry(),
        null_log.NullLog(),
        lambda: None,
        nursery,
    )
    nursery.start_soon(tested.run)
    await trio.sleep(3.0)
    assert bool(follower.restarts) == is_watching


class SilentPeerRegistry(FakePeerRegistry):
    """A registry in which the peer that is ahead cannot be reached."""

    def find_ahead(self, revision, now, excluded=frozenset()):
        """Return the state of a peer at whose address nobody listens."""
        peer = heartbeat.Peer('p', 1, 'x', ('127.0.0.1', 1), ('127.0.0.1', 1))
        return FakePeerState(peer, True)


async def test_instance_that_cannot_copy_from_peers_watches(nursery):
    duty = FakeDuty(is_on=False)
    tested = mirror_sync.MirrorSynchronizer(
        mirror.Mirror(lambda key, value: None),
        ConnectedFollower(is_watching=False),
        duty,
        SilentPeerRegistry(),
        null_log.NullLog(),
        lambda: None,
        nursery,
    )
    nursery.start_soon(tested.run)
    with trio.fail_after(10):
        while not duty.forced:
            await trio.sleep(0.1)


def test_copy_of_changes_leaves_out_what_did_not_change():
    theirs = mirror.Mirror(lambda key, value: None)
    for revision in range(1, 500):
        theirs.apply(item.Item(f'k{revision}', fakes.at(revision), b'x'), 0.0)
    theirs.apply(item.Item('k7', fakes.at(500), removed=True), 0.0)
    theirs.revision = fakes.at(500)
    snapshot = mirror_sync.make_snapshot(theirs, fakes.at(498), 0.0)
    assert [i[0] for i in snapshot.items] == ['k499']
    assert snapshot.removals == [('k7', fakes.at(500))]
    assert snapshot.is_partial


def _stay_silent(request, respond):
    return None


async def test_change_arrives_in_time_though_the_first_source_is_silent(
    nursery,
):
    # Of the 3 s in which a change is due, the longest pause of the source's
    # watch and the interval of its heartbeats leave 1.4 s.
    registry = peer_registry.PeerRegistry(
        test_peer_registry._peer('a0', 'a'), null_log.NullLog()
    )
    theirs = mirror.Mirror(lambda key, value: None)
    theirs.apply(item.Item('a', fakes.at(9), b'x'), 0.0)
    theirs.revision = fakes.at(9)
    handlers = (mirror_sync.make_handler(theirs), _stay_silent)
    now = trio.current_time()
    addresses = [loopback.find_address() for _ in range(2)]
    for address, name in zip(addresses, ('a1', 'a2'), strict=True):
        peer = heartbeat.Peer(name, 1, 'a', address, ('127.0.0.1', 1))
        registry.register(peer, now)
        registry.on_heartbeat(
            heartbeat.Heartbeat(
                heartbeat.FORMAT, peer.id, heartbeat.READY, 9, True, era=1
            ),
            peer.address,
            now,
        )
    first = registry.find_ahead(item.NO_REVISION, now).peer
    for address in addresses:
        is_first = first.address == address
        peer_server = server.Server(handlers[is_first], nursery)
        nursery.start_soon(peer_server.run, address)
    await trio.testing.wait_all_tasks_blocked()
    mine = mirror.Mirror(lambda key, value: None)
    tested = mirror_sync.MirrorSynchronizer(
        mine,
        ConnectedFollower(is_watching=False),
        FakeDuty(is_on=False),
        registry,
        null_log.NullLog(),
        lambda: None,
        nursery,
    )
    nursery.start_soon(tested.run)
    await trio.sleep(1.4)
    assert sorted(mine.items) == ['a']


async def test_mirror_of_a_newer_era_is_copied_whole(nursery):
    theirs = mirror.Mirror(lambda key, value: None)
    theirs.apply(item.Item('a', fakes.at(3, era=2), b'x'), 0.0)
    theirs.retain({'a'}, fakes.at(5, era=2), 0.0)
    theirs.revision = fakes.at(5, era=2)
    theirs.is_complete = True
    mine = mirror.Mirror(lambda key, value: None)
    mine.apply(item.Item('a', fakes.at(8), b'of the era before'), 0.0)
    mine.apply(item.Item('gone', fakes.at(9), b'x'), 0.0)
    mine.revision = fakes.at(9)
    snapshot = mirror_sync.make_snapshot(theirs, mine.revision, 0.0)
    assert not snapshot.is_partial
    tested = mirror_sync.MirrorSynchronizer(
        mine, None, None, None, null_log.NullLog(), lambda: None, nursery
    )
    peer = test_peer_registry._peer('b0')
    assert tested._apply_snapshot(snapshot, FakePeerState(peer, True))
    mine.apply_held_changes(trio.current_time() + mirror.REMOVAL_HOLD_S + 1)
    assert {k: i.value for k, i in mine.items.items()} == {'a': b'x'}


async def test_mirror_of_the_era_before_is_not_copied(nursery):
    theirs = mirror.Mirror(lambda key, value: None)
    theirs.apply(item.Item('a', fakes.at(9), b'x'), 0.0)
    theirs.revision = fakes.at(9)
    mine = mirror.Mirror(lambda key, value: None)
    mine.revision = fakes.at(5, era=2)
    tested = mirror_sync.MirrorSynchronizer(
        mine, None, None, None, null_log.NullLog(), lambda: None, nursery
    )
    snapshot = mirror_sync.make_snapshot(theirs, None, 0.0)
    peer = test_peer_registry._peer('b0')
    assert not tested._apply_snapshot(snapshot, FakePeerState(peer, True))
    assert not mine.items


@pytest.mark.parametrize('text', [b'', b'5', b'2.', b'.5', b'2.x', b'2.5.1'])
def test_invalid_revision_gets_all_items(text):
    assert mirror_sync._parse_revision(text) is None


class ConfigurationPeers(FakePeerRegistry):
    """A registry in which one peer has a newer configuration in force."""

    def __init__(self, address, version):
        self.asked = 0
        peer = heartbeat.Peer('p', 1, 'x', address, address)
        self._state = types.SimpleNamespace(peer=peer, configuration=version)

    def find_ahead(self, revision, now, excluded=frozenset()):
        """Return None."""
        return None

    def find_newer_configuration(self, version, now):
        """Return the state of that peer if its version is newer."""
        self.asked += self._state.configuration > version
        return self._state if self._state.configuration > version else None


@pytest.mark.parametrize('is_taken', [True, False])
async def test_instance_started_after_a_restore_copies_what_a_peer_has_kept(
    nursery, is_taken
):
    def is_older(key, value, other):
        return is_taken and int(value) < int(other)

    theirs = mirror.Mirror(lambda key, value: None)
    theirs.apply(item.Item('op/config', fakes.at(3, era=2), b'10'), 0.0)
    theirs.revision = fakes.at(3, era=2)
    address = loopback.find_address()
    peer_server = server.Server(mirror_sync.make_handler(theirs), nursery)
    nursery.start_soon(peer_server.run, address)
    await trio.testing.wait_all_tasks_blocked()
    mine = mirror.Mirror(lambda key, value: None, is_older)
    mine.apply(item.Item('op/config', fakes.at(3, era=2), b'5'), 0.0)
    mine.revision = fakes.at(4, era=2)
    peers = ConfigurationPeers(address, 10)
    tested = mirror_sync.MirrorSynchronizer(
        mine,
        ConnectedFollower(is_watching=True),
        FakeDuty(),
        peers,
        null_log.NullLog(),
        lambda: None,
        nursery,
        lambda: int(mine.items['op/config'].value),
    )
    nursery.start_soon(tested.run)
    await trio.sleep(1.8)
    assert mine.items['op/config'].value == (b'10' if is_taken else b'5')
    assert mine.revision == fakes.at(4, era=2)
    # One that this instance cannot take is not asked for again.
    assert peers.asked == 1
