"""Copies changes from the mirror of a peer that has seen more of them."""

import typing

import msgspec
import trio

from savorycross import decoding
from savorycross.discovery import item as items
from savorycross import errors
from savorycross.wire import client
from savorycross.wire import messages

# Version of the snapshots' format; instances of other versions use another
# path, and get no snapshot from this one.
PATH = b'/mirror/2'
_AFTER = PATH + b'?after='
CHECK_INTERVAL_S = 0.5
# Leaves time to ask a second peer before a change is due.
REQUEST_TIMEOUT_S = 0.8
# An instance that could not copy what peers have for this long watches the
# store itself.
MAX_BEHIND_S = 1.5


_Age = typing.Annotated[int, msgspec.Meta(ge=0)]


class Snapshot(msgspec.Struct, array_like=True):
    """Holds the items of a mirror, all of them or those that changed.

    :param revision: the store's Revision that the mirror has reached.
    :param items: key, Revision and value of each item.
    :param removals: key and Revision of each removed item.
    :param is_complete: whether a listing has filled the mirror.
    :param is_partial: whether items that did not change are left out.
    :param hold_ms: milliseconds for which removals are to be held back.
    :param age_ms: milliseconds for which changes may be missing, or None if
        that is not known.
    """

    revision: items.Revision
    items: list[tuple[str, items.Revision, bytes]]
    removals: list[tuple[str, items.Revision]] = []
    is_complete: bool = False
    is_partial: bool = False
    hold_ms: int = 0
    age_ms: _Age | None = None


_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def make_snapshot(mirror, after, now):
    """Return the Snapshot of a mirror for a peer.

    :param after: Revision that the peer has reached, or None if it needs
        all items.
    :param now: runtime clock time in seconds.
    """
    changes = None if after is None else mirror.changes_after(after)
    is_partial = changes is not None
    if changes is None:
        changes = mirror.list_items()
    return Snapshot(
        mirror.revision,
        [(i.key, i.revision, i.value) for i in changes if not i.removed],
        [(i.key, i.revision) for i in changes if i.removed],
        mirror.is_complete,
        is_partial,
        int(mirror.hold_remaining_s(now) * 1000),
        mirror.age_ms(now),
    )


def make_handler(mirror):
    """Return a Handler that serves snapshots of a mirror to peers.

    It answers 404 until the mirror has reached a revision.

    :param mirror: Mirror.
    """

    def handle(request, respond):
        path, _, after = request.target.partition(b'?after=')
        if path != PATH or mirror.revision == items.NO_REVISION:
            respond(messages.Reply(404))
            return None
        snapshot = make_snapshot(
            mirror, _parse_revision(after), trio.current_time()
        )
        respond(messages.Reply(200, (), msgspec.msgpack.encode(snapshot)))
        return None

    return handle


def _format_revision(revision):
    return b'%d.%d' % revision


def _parse_revision(text):
    """Return the Revision that bytes such as ``2.67`` name, or None."""
    era, _, number = text.partition(b'.')
    if not era.isdigit() or not number.isdigit():
        return None
    return items.Revision(int(era), int(number))


class MirrorSynchronizer:
    """Updates the mirror from peers while this instance does not watch.

    While it watches, it restarts a watch that misses changes which peers
    have seen.

    :param mirror: Mirror.
    :param follower: Follower.
    :param duty: WatchDuty.
    :param peers: PeerRegistry.
    :param log: EventLog.
    :param on_synced: called after the mirror was updated from a peer.
    :param nursery: nursery for the connections to peers.
    :param read_version: callable that returns the version of the
        configuration in force, or 0.
    """

    def __init__(
        self,
        mirror,
        follower,
        duty,
        peers,
        log,
        on_synced,
        nursery,
        read_version=lambda: 0,
    ):
        self._mirror = mirror
        self._follower = follower
        self._duty = duty
        self._peers = peers
        self._log = log
        self._on_synced = on_synced
        self._nursery = nursery
        self._read_version = read_version
        self._behind_since = None
        # Version that was copied from a peer, whether it was taken or not.
        self._copied_version = 0

    async def run(self):
        """Compare revisions with peers until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            ahead = self._peers.find_ahead(self._mirror.revision, now)
            if ahead is None:
                self._behind_since = None
                await self._copy_newer_configuration(now)
                continue
            if self._behind_since is None:
                self._behind_since = now
            if not self._follower.is_connected or not self._duty.is_on(now):
                await self._copy_or_watch()
            elif not self._follower.is_watching:
                # The follower pauses between watches so that changes gather;
                # peers may have read them already.
                self._behind_since = None
            elif now - self._behind_since > 2 * CHECK_INTERVAL_S:
                # The watch stays silent although peers receive changes.
                self._behind_since = None
                self._follower.restart()

    async def _copy_or_watch(self):
        """Copy from one peer after the other, until one answers.

        Watch the store if none does for too long.
        """
        silent = set()
        while True:
            now = trio.current_time()
            if now - self._behind_since > MAX_BEHIND_S:
                self._duty.force(now)
                return
            ahead = self._peers.find_ahead(self._mirror.revision, now, silent)
            if ahead is None:
                return
            if await self._copy_from(ahead):
                self._behind_since = None
                return
            silent.add(ahead.peer.name)

    async def _copy_from(self, ahead):
        """Copy from a peer.

        :param ahead: PeerState of the peer.
        :returns: whether the mirror has a newer revision now.
        """
        path = PATH
        if self._mirror.is_complete:
            path = _AFTER + _format_revision(self._mirror.revision)
        sent_at = trio.current_time()
        snapshot = await self._fetch_snapshot(ahead.peer, path)
        if snapshot is None or not self._apply_snapshot(snapshot, ahead):
            return False
        if snapshot.age_ms is not None:
            current_at = sent_at - snapshot.age_ms / 1000
            self._mirror.note_peer_current(snapshot.revision, current_at)
        return True

    async def _copy_newer_configuration(self, now):
        """Copy a configuration that a peer has kept from before a restore.

        The store shows an older one until operators write it again, and an
        instance that has started since knows only that one.
        """
        version = max(self._read_version(), self._copied_version)
        newer = self._peers.find_newer_configuration(version, now)
        if newer is None:
            return
        snapshot = await self._fetch_snapshot(newer.peer, PATH)
        if snapshot is None:
            return
        self._copied_version = newer.configuration
        for key, revision, value in snapshot.items:
            self._mirror.take_newer_value(
                items.Item(key, revision, value, source=items.Source.PEER)
            )
        self._log.event(
            'mirror.values_copied',
            peer=newer.peer.name,
            version=self._read_version(),
            known_version=version,
        )

    async def _fetch_snapshot(self, peer, path):
        """Return the Snapshot that a Peer sends, or None."""
        peer_client = client.Client(tuple(peer.address), self._nursery)
        try:
            reply = await peer_client.call(
                b'GET', path, timeout_s=REQUEST_TIMEOUT_S
            )
            return decoding.decode(_snapshot_decoder, reply.body)
        except (errors.ConnectionLostError, ValueError) as exc:
            self._log.event(
                'mirror.not_copied', peer=peer.name, reason=str(exc)
            )
            return None
        finally:
            peer_client.close()

    def _behind_s(self, now):
        """Return the seconds since a peer was first seen to be ahead."""
        if self._behind_since is None:
            return 0.0
        return round(now - self._behind_since, 3)

    def _apply_snapshot(self, snapshot, ahead):
        """Merge a snapshot into the mirror, if it is newer.

        :param ahead: PeerState of the peer that sent it.
        :returns: whether it is.
        """
        mirror = self._mirror
        if snapshot.revision <= mirror.revision:
            return False
        now = trio.current_time()
        if snapshot.hold_ms:
            mirror.hold_removals(now, snapshot.hold_ms / 1000)
        for key, revision, value in snapshot.items:
            copied = items.Item(key, revision, value, source=items.Source.PEER)
            mirror.apply(copied, now)
        for key, revision in snapshot.removals:
            mirror.apply(items.Item(key, revision, removed=True), now)
        if not snapshot.is_partial:
            kept = {i[0] for i in snapshot.items}
            if snapshot.is_complete:
                mirror.retain(kept, snapshot.revision, now)
            else:
                mirror.forget_removals(snapshot.revision)
            # Only a listing shows removals that the peer missed.
            mirror.is_complete = snapshot.is_complete
        mirror.revision = snapshot.revision
        self._on_synced()
        self._log.event(
            'mirror.copied',
            peer=ahead.peer.name,
            revision=snapshot.revision,
            items=len(snapshot.items),
            is_partial=snapshot.is_partial,
            behind_s=self._behind_s(now),
        )
        return True
