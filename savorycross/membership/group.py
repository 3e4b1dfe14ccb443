"""The tasks that exchange heartbeats and keep the view current."""

import math

import msgspec
import trio

from savorycross import errors
from savorycross.membership import detector as detectors
from savorycross.membership import lease as leases
from savorycross.membership import view as views
from savorycross.membership import view_proposer as view_proposers
from savorycross.sheet import publish

SYNC_INTERVAL_S = 0.5
SYNC_RETRY_S = 0.25
SLOW_SYNC_INTERVAL_S = 15.0
STORE_READERS = 4
# An instance that reads the store seldom reads it once nobody has confirmed
# for this long that nothing newer is in it, one instance after the other.
MAX_UNCONFIRMED_S = 2.0
TURN_S = 0.2
MAX_TURNS_S = 2.0
JOIN_REQUEST_TTL_S = 5.0


class Group:
    """Maintains the membership of one instance in the group of all.

    :param own: this instance's Member.
    :param store: Store.
    :param datagrams: sends Datagram messages to members.
    :param header: callable that returns a detector Header.
    :param on_view: called with each newer View.
    :param on_manifest: awaited with each Manifest read from the store, its
        revision, and the runtime clock time in seconds at which it was asked
        for.
    :param on_liveness: called after peers have changed their status, or
        have been added or removed.
    :param journal: Journal.
    :param seed: seed of the probe order.
    :param read_version: callable that returns the version of the catalogue
        in force.
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
        read_version=lambda: 0,
    ):
        self.own = own
        self.view = views.EMPTY_VIEW
        self.ownership_lease = leases.OwnershipLease(own.name)
        self.detector = detectors.FailureDetector(own, header, seed)
        self.leaving = False
        self._view_proposer = view_proposers.ViewProposer(own)
        self._store = store
        self._datagrams = datagrams
        self._on_view = on_view
        self._on_manifest = on_manifest
        self._on_liveness = on_liveness
        self._journal = journal
        self._read_version = read_version
        self._confirmed_at = -math.inf
        self._join_requests = {}
        self._inbox_sender, self._inbox = trio.open_memory_channel(math.inf)
        self.is_store_up = False

    @property
    def is_member(self):
        """Whether the adopted view contains this process."""
        return self.view.contains(self.own)

    def alive_members(self):
        """Return the members of the view that are believed alive.

        For an instance that has left the view these are all members,
        because they do not answer its heartbeats any more.
        """
        if self.leaving and not self.is_member:
            return self.view.members
        return tuple(
            m
            for m in self.view.members
            if m == self.own or self.detector.is_alive(m.name)
        )

    def queue_datagram(self, datagram):
        """Queue a received datagram for the heartbeat task."""
        self._inbox_sender.send_nowait(datagram)

    def add_join_request(self, member):
        """Record the request of a process to join.

        :param member: Member of the process.
        """
        self._join_requests[member.name] = (member, trio.current_time())

    def adopt(self, view):
        """Adopt a view if it is newer.

        :returns: whether it was newer.
        """
        if view.epoch <= self.view.epoch:
            return False
        self.view = view
        self._view_proposer.record_member_contact()
        self.detector.set_members(view.members, trio.current_time())
        self._journal.record(
            'view.adopted',
            str(view.epoch),
            members=' '.join(m.name for m in view.members),
        )
        self._on_view(view)
        return True

    async def run_heartbeats(self):
        """Send probes and handle datagrams until cancelled."""
        while True:
            datagram = None
            with trio.move_on_at(self.detector.next_timer_at()):
                datagram = await self._inbox.receive()
            now = trio.current_time()
            changes_before = self.detector.change_count
            out = []
            if datagram is not None:
                self._journal.clock.merge(datagram.stamp)
                self.note_confirmation(datagram, now)
                out += self.detector.handle_datagram(datagram, now)
            out += self.detector.run_due_timers(now)
            for member, message in out:
                await self._datagrams.send(member, message)
            self._record_acks()
            if self.detector.change_count != changes_before:
                self._on_liveness()

    def confirmed_age_ms(self, now):
        """Return the milliseconds since the catalogue was the newest one.

        :param now: runtime clock time in seconds.
        :returns: None if that is not known.
        """
        if math.isinf(self._confirmed_at):
            return None
        return math.ceil((now - self._confirmed_at) * 1000)

    def note_confirmation(self, datagram, now):
        """Note for how long a peer may have missed a newer catalogue.

        This instance has missed none either, unless its own is older.

        :param datagram: Datagram of the peer.
        """
        age_ms = datagram.confirmed_age_ms
        if age_ms is None or datagram.config_version > self._read_version():
            return
        self._confirmed_at = max(self._confirmed_at, now - age_ms / 1000)

    def _record_acks(self):
        acks, self.detector.received_acks = self.detector.received_acks, []
        for ack in acks:
            generation = leases.Generation(ack.view_epoch, ack.config_version)
            self.ownership_lease.record_ack(
                ack.name, generation, ack.probe_sent_at
            )

    async def run_sync(self):
        """Synchronise with the store at intervals until cancelled."""
        while True:
            try:
                await self.sync()
                self.is_store_up = True
                await self._wait_for_sync()
            except errors.StoreUnavailableError:
                self.is_store_up = False
                await trio.sleep(SYNC_RETRY_S)

    async def _wait_for_sync(self):
        """Wait until the store is to be read again.

        Few instances read it often; the others learn of changes by gossip,
        as long as it also tells that there are none.
        """
        seldom_at = trio.current_time() + SLOW_SYNC_INTERVAL_S
        while True:
            await trio.sleep(SYNC_INTERVAL_S)
            now = trio.current_time()
            turns = self._count_turns()
            if now >= seldom_at or turns <= 0:
                return
            patience_s = MAX_UNCONFIRMED_S + min(turns * TURN_S, MAX_TURNS_S)
            if now - self._confirmed_at >= patience_s:
                return

    def _count_turns(self):
        """Return how many others read the store before this instance.

        :returns: 0 if it is to read often.
        """
        if not self.is_member:
            return 0
        names = sorted(m.name for m in self.alive_members())
        return max(names.index(self.own.name) - STORE_READERS + 1, 0)

    async def sync(self):
        """Read view and manifest once, and propose a view if one is due.

        :raises StoreUnavailableError: if the store cannot be read.
        """
        asked_at = trio.current_time()
        held = self.view
        entry = await self._store.get(views.VIEW_KEY)
        view = _decode_view(entry)
        manifest, revision = await publish.read_manifest(self._store)
        self.adopt(view)
        await self._on_manifest(manifest, revision, asked_at)
        self._confirmed_at = max(self._confirmed_at, asked_at)
        generation = leases.Generation(view.epoch, manifest.version)
        self.ownership_lease.record_store_read(generation, asked_at)
        await self._propose(view, held, entry.revision)

    async def _propose(self, view, held, revision):
        """Propose the view that is due in place of the stored one, if any.

        :param view: View read from the store.
        :param held: View that this instance had adopted before it asked.
        :param revision: revision of the view's key.
        """
        now = trio.current_time()
        self._join_requests = {
            name: (m, asked_at)
            for name, (m, asked_at) in self._join_requests.items()
            if now - asked_at < JOIN_REQUEST_TTL_S
        }
        joining = [m for m, _ in self._join_requests.values()]
        dead = self.detector.dead_members()
        proposal = self._view_proposer.propose(
            view, held, joining, dead, self.leaving, now
        )
        if proposal is None:
            return
        self.ownership_lease.begin_proposal()
        self._journal.record(
            'view.proposed', str(proposal.view.epoch), reason=proposal.reason
        )
        await self._write_view(proposal.view, revision)

    async def _write_view(self, view, revision):
        """Write a view until it is known whether the write took effect.

        A write without an answer may take effect later, so it is repeated
        until it succeeds or the key is known to have another revision.
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
        """Adopt the view in the store, which may be this instance's own."""
        while True:
            try:
                entry = await self._store.get(views.VIEW_KEY)
            except errors.StoreUnavailableError:
                await trio.sleep(SYNC_RETRY_S)
                continue
            if not self.adopt(_decode_view(entry)):
                self.ownership_lease.withdraw_proposal()
            return

    async def leave(self):
        """Take this instance out of the view, and wait until it is out."""
        self.leaving = True
        while self.is_member:
            try:
                await self.sync()
            except errors.StoreUnavailableError:
                pass
            await trio.sleep(SYNC_RETRY_S)


def _decode_view(entry):
    try:
        return views.decode(entry.value)
    except msgspec.DecodeError as exc:
        raise errors.StoreUnavailableError(
            'the view in the store cannot be decoded'
        ) from exc
