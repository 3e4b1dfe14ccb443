"""Copies the mirror of a peer that has seen more of the store."""

import msgspec
import trio

from savorycross.discovery import item
from savorycross import errors
from savorycross.wire import client
from savorycross.wire import messages

PATH = b'/mirror'
CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0


class Copy(msgspec.Struct, array_like=True):
    """All items of a mirror."""

    revision: int
    items: list[tuple[str, int, bytes]]


def make_handler(mirror):
    """Return a Handler that serves a mirror to peers."""

    def handle(request, respond):
        if request.target != PATH or not mirror.revision:
            respond(messages.Reply(404))
            return None
        found = Copy(
            mirror.revision,
            [(i.key, i.revision, i.value) for i in mirror.items.values()],
        )
        respond(messages.Reply(200, (), msgspec.msgpack.encode(found)))
        return None

    return handle


class MirrorSynchronizer:
    """Fills the mirror from peers while the store does not answer.

    :param mirror: Mirror.
    :param follower: Follower.
    :param peers: PeerRegistry.
    :param log: EventLog.
    :param on_synced: called after a copy was taken.
    """

    def __init__(self, mirror, follower, peers, log, on_synced, nursery):
        self._mirror = mirror
        self._follower = follower
        self._peers = peers
        self._log = log
        self._on_synced = on_synced
        self._nursery = nursery

    async def run(self):
        """Compare with peers until cancelled."""
        behind_since = None
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            ahead = self._peers.fresher(self._mirror.revision, now)
            if ahead is None:
                behind_since = None
                continue
            if not self._follower.is_connected:
                await self._copy(ahead)
                continue
            if not self._follower.is_watching:
                # It pauses, so that changes gather; others may have read.
                behind_since = None
            elif behind_since is None:
                behind_since = now
            elif now - behind_since > 2 * CHECK_INTERVAL_S:
                # A watch that stays silent although others hear changes.
                behind_since = None
                self._follower.restart()

    async def _copy(self, ahead):
        caller = client.Client(tuple(ahead.peer.address), self._nursery)
        try:
            reply = await caller.call(b'GET', PATH, timeout_s=CALL_TIMEOUT_S)
            found = msgspec.msgpack.decode(reply.body, type=Copy)
        except (errors.ConnectionLostError, ValueError) as exc:
            self._log.event(
                'mirror.not_copied', peer=ahead.peer.name, reason=str(exc)
            )
            return
        finally:
            caller.close()
        self._take(found, ahead)

    def _take(self, found, ahead):
        if found.revision <= self._mirror.revision:
            return
        now = trio.current_time()
        for key, revision, value in found.items:
            self._mirror.apply(item.Item(key, revision, value), now)
        if ahead.has_store:
            self._mirror.retain({i[0] for i in found.items}, now)
        self._mirror.revision = found.revision
        # Removals that the peer missed show in the next listing only.
        self._mirror.is_complete = False
        self._on_synced()
        self._log.event(
            'mirror.copied', peer=ahead.peer.name, revision=found.revision
        )
