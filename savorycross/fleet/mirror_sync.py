"""Copies the mirror of a peer that has seen a newer store revision."""

import msgspec
import trio

from savorycross.discovery import item
from savorycross import errors
from savorycross.wire import client
from savorycross.wire import messages

PATH = b'/mirror'
CHECK_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 1.0


class Snapshot(msgspec.Struct, array_like=True):
    """Holds all items of a mirror.

    :param revision: the store's revision that the mirror has reached.
    :param items: key, revision and value of each item.
    """

    revision: int
    items: list[tuple[str, int, bytes]]


def make_handler(mirror):
    """Return a Handler that serves snapshots of a mirror to peers.

    It answers 404 until the mirror has reached a revision.

    :param mirror: Mirror.
    """

    def handle(request, respond):
        if request.target != PATH or not mirror.revision:
            respond(messages.Reply(404))
            return None
        snapshot = Snapshot(
            mirror.revision,
            [(i.key, i.revision, i.value) for i in mirror.items.values()],
        )
        respond(messages.Reply(200, (), msgspec.msgpack.encode(snapshot)))
        return None

    return handle


class MirrorSynchronizer:
    """Updates the mirror from peers while the store does not answer.

    While the store answers, it restarts a watch that misses changes which
    peers have seen.

    :param mirror: Mirror.
    :param follower: Follower.
    :param peers: PeerRegistry.
    :param log: EventLog.
    :param on_synced: called after the mirror was updated from a peer.
    :param nursery: nursery for the connections to peers.
    """

    def __init__(self, mirror, follower, peers, log, on_synced, nursery):
        self._mirror = mirror
        self._follower = follower
        self._peers = peers
        self._log = log
        self._on_synced = on_synced
        self._nursery = nursery

    async def run(self):
        """Compare revisions with peers until cancelled."""
        behind_since = None
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            ahead = self._peers.find_ahead(self._mirror.revision, now)
            if ahead is None:
                behind_since = None
                continue
            if not self._follower.is_connected:
                await self._copy_from(ahead)
                continue
            if not self._follower.is_watching:
                # The follower pauses between watches so that changes gather;
                # peers may have read them already.
                behind_since = None
            elif behind_since is None:
                behind_since = now
            elif now - behind_since > 2 * CHECK_INTERVAL_S:
                # The watch stays silent although peers receive changes.
                behind_since = None
                self._follower.restart()

    async def _copy_from(self, ahead):
        peer_client = client.Client(tuple(ahead.peer.address), self._nursery)
        try:
            reply = await peer_client.call(
                b'GET', PATH, timeout_s=REQUEST_TIMEOUT_S
            )
            snapshot = msgspec.msgpack.decode(reply.body, type=Snapshot)
        except (errors.ConnectionLostError, ValueError) as exc:
            self._log.event(
                'mirror.not_copied', peer=ahead.peer.name, reason=str(exc)
            )
            return
        finally:
            peer_client.close()
        self._apply_snapshot(snapshot, ahead)

    def _apply_snapshot(self, snapshot, ahead):
        """Merge a snapshot into the mirror, if it is newer.

        :param ahead: PeerState of the peer that sent it.
        """
        if snapshot.revision <= self._mirror.revision:
            return
        now = trio.current_time()
        for key, revision, value in snapshot.items:
            self._mirror.apply(item.Item(key, revision, value), now)
        if ahead.has_store:
            self._mirror.retain({i[0] for i in snapshot.items}, now)
        self._mirror.revision = snapshot.revision
        # Only the next listing shows removals that the peer missed.
        self._mirror.is_complete = False
        self._on_synced()
        self._log.event(
            'mirror.copied', peer=ahead.peer.name, revision=snapshot.revision
        )
