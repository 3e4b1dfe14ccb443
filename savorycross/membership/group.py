"""The task that keeps heartbeats going and the view current."""

import math

import msgspec
import trio

from savorycross import errors
from savorycross.membership import authority as authorities
from savorycross.membership import detector as detectors
from savorycross.membership import registrar as registrars
from savorycross.membership import view as views
from savorycross.sheet import publish

SYNC_INTERVAL_S = 0.5
SYNC_RETRY_S = 0.25
RARE_SYNC_INTERVAL_S = 15.0
WATCHERS = 4
JOIN_TTL_S = 5.0


class Group:
    """Membership as one instance sees it.

    :param own: this instance's Member.
    :param store: Store.
    :param datagrams: sends Datagram messages to members.
    :param header: callable that returns a detector Header.
    :param on_view: called with each newer View.
    :param on_manifest: called with each Manifest read from the store.
    :param on_liveness: called after any change of who is believed alive.
    :param journal: Journal.
    :param seed: seed of the probe order.
    """

    def __init__(
        self,
        own,
        store,
        datagrams,
        header,
        on_view,
        on_manifest,
        on_liveness,
        journal,
        seed=0,
    ):
        self.own = own
        self.view = views.EMPTY
        self.authority = authorities.Authority(own.name)
        self.detector = detectors.Detector(own, header, seed)
        self.leaving = False
        self._registrar = registrars.Registrar(own)
        self._store = store
        self._datagrams = datagrams
        self._on_view = on_view
        self._on_manifest = on_manifest
        self._on_liveness = on_liveness
        self._journal = journal
        self._joining = {}
        self._send, self._receive = trio.open_memory_channel(math.inf)
        self.store_is_up = False

    @property
    def is_member(self):
        """Whether the adopted view contains this process."""
        return self.view.contains(self.own)

    def alive(self):
        """Return the members of the view that are believed alive.

        Members do not answer an instance that has left the view, so it
        takes all for alive.
        """
        if self.leaving and not self.is_member:
            return self.view.members
        return tuple(
            m
            for m in self.view.members
            if m == self.own or self.detector.is_alive(m.name)
        )

    def received(self, datagram):
        """Queue a heartbeat message for the heartbeat task."""
        self._send.send_nowait(datagram)

    def asked_to_add(self, member):
        """Note a process that wants to join."""
        self._joining[member.name] = (member, trio.current_time())

    def adopt(self, view):
        """Take a view if it is newer; return whether it was."""
        if view.epoch <= self.view.epoch:
            return False
        self.view = view
        self._registrar.heard_from_member()
        self.detector.set_members(view.members, trio.current_time())
        self._journal.record(
            'view.adopted',
            str(view.epoch),
            members=' '.join(m.name for m in view.members),
        )
        self._on_view(view)
        return True

    async def run_heartbeats(self):
        """Probe, answer and judge until cancelled."""
        while True:
            datagram = None
            with trio.move_on_at(self.detector.next_wake()):
                datagram = await self._receive.receive()
            now = trio.current_time()
            before = self.detector.generation
            out = []
            if datagram is not None:
                self._journal.clock.merge(datagram.stamp)
                out += self.detector.received(datagram, now)
            out += self.detector.wake(now)
            for member, message in out:
                await self._datagrams.send(member, message)
            self._take_acks()
            if self.detector.generation != before:
                self._on_liveness()

    def _take_acks(self):
        acks, self.detector.acks = self.detector.acks, []
        for ack in acks:
            generation = authorities.Generation(
                ack.view_epoch, ack.config_version
            )
            self.authority.acked(ack.name, generation, ack.sent)

    async def run_sync(self):
        """Read view and manifest from the store until cancelled."""
        while True:
            pause = self._sync_pause()
            try:
                await self.sync()
                self.store_is_up = True
            except errors.StoreUnavailableError:
                self.store_is_up = False
                pause = SYNC_RETRY_S
            await trio.sleep(pause)

    def _sync_pause(self):
        """Few instances read often; the others hear of news by gossip."""
        if not self.is_member:
            return SYNC_INTERVAL_S
        names = sorted(m.name for m in self.alive())
        if names.index(self.own.name) < WATCHERS:
            return SYNC_INTERVAL_S
        return RARE_SYNC_INTERVAL_S

    async def sync(self):
        """Read view and manifest once and propose what is due."""
        asked = trio.current_time()
        entry = await self._store.get(views.VIEW_KEY)
        view = _decode(entry)
        manifest, _ = await publish.read_manifest(self._store)
        self.adopt(view)
        await self._on_manifest(manifest)
        generation = authorities.Generation(view.epoch, manifest.version)
        self.authority.store_answered(generation, asked)
        await self._propose(view, entry.revision)

    async def _propose(self, view, revision):
        now = trio.current_time()
        self._joining = {
            name: (m, asked)
            for name, (m, asked) in self._joining.items()
            if now - asked < JOIN_TTL_S
        }
        joining = [m for m, _ in self._joining.values()]
        dead = self.detector.dead()
        found = self._registrar.propose(view, joining, dead, self.leaving, now)
        if found is None:
            return
        self.authority.propose()
        self._journal.record(
            'view.proposed', str(found.view.epoch), reason=found.reason
        )
        await self._write(found.view, revision)

    async def _write(self, view, revision):
        """Write a view until its fate is known.

        A write without an answer may take effect later, so it is repeated
        until it succeeds or the key has surely moved on.
        """
        while True:
            try:
                await self._store.put(
                    views.VIEW_KEY, views.encode(view), revision
                )
                self.adopt(view)
                return
            except errors.StoreConflictError:
                await self._adopt_stored()
                return
            except errors.StoreUnavailableError:
                await trio.sleep(SYNC_RETRY_S)

    async def _adopt_stored(self):
        """Adopt whatever view has been written instead, or as well."""
        while True:
            try:
                entry = await self._store.get(views.VIEW_KEY)
            except errors.StoreUnavailableError:
                await trio.sleep(SYNC_RETRY_S)
                continue
            if not self.adopt(_decode(entry)):
                self.authority.withdraw()
            return

    async def leave(self):
        """Take this instance out of the view; return once it is out."""
        self.leaving = True
        while self.is_member:
            try:
                await self.sync()
            except errors.StoreUnavailableError:
                pass
            await trio.sleep(SYNC_RETRY_S)


def _decode(entry):
    try:
        return views.decode(entry.value)
    except msgspec.DecodeError as exc:
        raise errors.StoreUnavailableError('the view is damaged') from exc
