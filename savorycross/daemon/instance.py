"""One instance without its sockets: its components and their connections."""

import dataclasses
import itertools
import typing

import trio

from savorycross.booking import coordinator as booking_coordinator
from savorycross.booking import idempotency_keys
from savorycross.booking import router
from savorycross.catalogue import availability
from savorycross.catalogue import keeper
from savorycross.catalogue import state as states
from savorycross.daemon import anti_entropy
from savorycross.entry import admission
from savorycross.entry import entries
from savorycross.entry import query_coordinator
from savorycross import errors
from savorycross.events import clock as clocks
from savorycross.events import journal as journals
from savorycross.membership import detector
from savorycross.membership import group as groups
from savorycross.membership import lease
from savorycross.membership import member as members
from savorycross.metrics import registry
from savorycross.ownership import owner_tracker
from savorycross.peer import messages
from savorycross.plan import inventory
from savorycross.plan import plan as plans
from savorycross.relay import assignment
from savorycross.relay import inbox
from savorycross.relay import relay as relays
from savorycross.sheet import publish
from savorycross.sheet import recovery

HOUSEKEEPING_INTERVAL_S = 0.1
POLL_INTERVAL_S = 1.0
JOIN_INTERVAL_S = 0.5
JOINER_LINK_S = 5.0


class PeerNetwork(typing.Protocol):
    """Sends messages to peers over links."""

    def reconcile(self, members) -> None:
        """Open links to the given members, and close all others."""

    def is_linked(self, name, incarnation) -> bool:
        """Return whether there is a link to a process of an instance."""

    def send(self, name, message) -> bool:
        """Queue a message; return False if it cannot be sent."""


class Datagrams(typing.Protocol):
    """Sends heartbeat messages to members."""

    async def send(self, member, datagram) -> None:
        """Send a message; it may be lost."""


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What an instance needs from its surroundings.

    :param store: Store.
    :param make_peers: callable of the instance; returns a PeerNetwork.
    :param make_datagrams: callable of the instance; returns Datagrams.
    :param make_target_client: callable of the instance; returns a
        TargetClient.
    :param wall: callable that returns the wall clock, in seconds since the
        epoch.
    :param secret: key that signs tickets; bytes that no caller knows.
    :param ownership: Ownership, which ranks the owners of replica sets.
    :param policy: relay Policy.
    :param keep_s: seconds for which callers may cache the list of entries.
    :param seeds: members to contact before the instance has joined a view.
    :param seed: seed of the order in which the failure detector probes.
    """

    store: object
    make_peers: typing.Callable
    make_datagrams: typing.Callable
    make_target_client: typing.Callable
    wall: typing.Callable[[], float]
    secret: bytes
    ownership: object
    policy: object
    keep_s: float = entries.DEFAULT_KEEP_S
    seeds: tuple[members.Member, ...] = ()
    seed: int = 0


class Instance:
    """Connects the components of one instance.

    :param own: this instance's Member.
    :param dependencies: Dependencies.
    :param nursery: runs the instance's tasks.
    """

    def __init__(self, own, dependencies, nursery):
        self.own = own
        self.dependencies = dependencies
        self.nursery = nursery
        self.metrics = registry.Registry()
        self.clock = clocks.HybridClock(dependencies.wall)
        self.journal = journals.Journal(self.clock, own.name)
        self.keeper = keeper.CatalogueKeeper()
        self.availability = availability.Availability(dependencies.wall)
        self.inventories = inventory.InventoryTable()
        self.planner = plans.Planner(
            self.inventories, self.availability.is_open
        )
        self.leaving = False
        self._has_settled = False
        self._joiners = {}
        self.owner_tracker = owner_tracker.OwnerTracker(
            own.name, dependencies.ownership
        )
        part_ids = itertools.count(1)
        self.peers = dependencies.make_peers(self)
        self.datagrams = dependencies.make_datagrams(self)
        self.group = self._make_group(self.datagrams)
        self.anti_entropy = anti_entropy.AntiEntropy(
            self.group,
            self.keeper,
            self.peers.send,
            self._on_catalogue,
            self.metrics,
        )
        self.relay = relays.Relay(
            self,
            self.inventories,
            dependencies.policy,
            self.peers.send,
            self._publish_inventory,
            self.journal,
            self.metrics,
        )
        self.admission = admission.AdmissionController()
        self.queries = query_coordinator.QueryCoordinator(
            self,
            self.admission,
            self.peers.send,
            part_ids,
            self.journal,
            self.metrics,
        )
        self.idempotency_keys = idempotency_keys.IdempotencyKeys(
            dependencies.store
        )
        self.bookings = booking_coordinator.BookingCoordinator(
            own,
            dependencies.secret,
            self.idempotency_keys,
            self,
            self.peers.send,
            part_ids,
            self.journal,
            dependencies.wall,
            nursery,
        )
        self.target_client = dependencies.make_target_client(self)

    def _make_group(self, datagrams):
        self._catalogue_adopted_at = trio.current_time()
        self._manifest_recovery = recovery.ManifestRecovery(
            self.dependencies.store, self.journal
        )
        return groups.Group(
            self.own,
            self.dependencies.store,
            datagrams,
            self._make_header,
            self._on_view,
            self._on_manifest,
            self._on_liveness,
            self.journal,
            self.dependencies.seed,
            lambda: self.catalogue.version,
        )

    async def run(self):
        """Run the instance's tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.relay.run, self.target_client)
            nursery.start_soon(self.group.run_heartbeats)
            nursery.start_soon(self.group.run_sync)
            nursery.start_soon(self.idempotency_keys.run)
            nursery.start_soon(self._run_leaving_target_poll)
            nursery.start_soon(self._run_housekeeping)
            nursery.start_soon(self._run_join_requests)

    # The interface for the entry; see entry.query_router.

    @property
    def catalogue(self):
        """The current Catalogue."""
        return self.keeper.current

    def plan(self, index, avoid):
        """Return the plan of a query over an index.

        :param avoid: snapshots that the plan must not use.
        """
        return self.planner.plan(
            self.catalogue, index, self.availability.generation, avoid
        )

    def owners(self, replica_set):
        """Return the names of possible owners, the best first."""
        return self.owner_tracker.candidates(replica_set)

    def list_entries(self):
        """Return the Entries that callers may use."""
        now = self.dependencies.wall()
        closed_data_centres = {
            d.name
            for d in self.catalogue.data_centres
            if d.schedule.state_at(now) is not states.State.OPEN
        }
        load_by_member = {
            p.member.name: p.load for p in self.group.detector.peers()
        }
        load_by_member[self.own.name] = self._load()
        usable = [
            m for m in self.owner_tracker.alive if not self._is_leaving(m.name)
        ]
        return entries.list_entries(
            usable,
            load_by_member,
            closed_data_centres,
            self.dependencies.keep_s,
        )

    def _is_leaving(self, name):
        if name == self.own.name:
            return self.leaving
        peer = self.group.detector.peer(name)
        return peer is not None and peer.leaving

    def not_ready_reason(self):
        """Return why the instance cannot serve, as text, or None."""
        if self.leaving:
            return 'stopping'
        if not self.catalogue.version:
            return 'no configuration yet'
        if not self.group.is_member:
            return 'not yet a member of the view'
        if not self._has_settled and not self._check_settled():
            return 'ownership of targets has not settled yet'
        known_count = sum(
            self.inventories.get(t.name) is not None
            for t in self.catalogue.targets
        )
        if not known_count:
            return 'no target has stated what it holds'
        return None

    def _check_settled(self):
        """Return whether ownership has settled, and remember it."""
        now = trio.current_time()
        self._has_settled = self.group.ownership_lease.is_settled(now)
        return self._has_settled

    def update_gauges(self):
        """Set the gauges of the metrics to their current values."""
        gauges = {
            'queries_in_progress': self.queries.in_progress,
            'bookings_in_progress': self.bookings.in_progress,
            'bookings_remembered': len(self.bookings.ledger),
            'admission_limit': self.admission.limit(0),
            'attempts_in_flight': self.relay.in_flight,
            'view_epoch': self.group.view.epoch,
            'config_version': self.catalogue.version,
            'members_alive': len(self.owner_tracker.alive),
            'first_sends': self.relay.extra_budget.first_sends,
            'extra_sends': self.relay.extra_budget.extra_sends,
        }
        for name, value in gauges.items():
            self.metrics.set_gauge(name, value)

    # The interface for bookings; see booking.router.

    def route(self, workload, key):
        """Return (owner, Placement) pairs for a booking, the best first.

        :param workload: name of the workload.
        :param key: value whose hash chooses the replica set.
        """
        workload_spec = self.catalogue.workload_by_name.get(workload)
        if workload_spec is None:
            return []
        services = self.catalogue.services_by_index.get(
            workload_spec.index, []
        )
        targets = [
            t
            for s in services
            for t in self.catalogue.targets_by_service.get(s.name, ())
        ]
        replica_sets = list(
            dict.fromkeys((t.service, t.replica_set) for t in targets)
        )
        if not replica_sets:
            return []
        service, replica_set = replica_sets[
            booking_coordinator.hash_to_bucket(key, len(replica_sets))
        ]
        placement = router.Placement(
            replica_set, plans.shard_key(service, 0), workload_spec.priority
        )
        return [(owner, placement) for owner in self.owners(replica_set)]

    def is_running(self, name, incarnation):
        """Return whether a process of an instance may still be running."""
        member = self.group.view.find(name)
        if member is not None and member.incarnation == incarnation:
            return True
        return self.peers.is_linked(name, incarnation)

    # The interface for the relay.

    def current_assignment(self):
        """Return the replica sets that this instance acts for."""
        owned = self.owner_tracker.served_sets()
        return assignment.Assignment(
            self.catalogue, owned, self.availability.states
        )

    def may_send_cold(self, target, now):
        """Return whether a target that may be cold may be sent to."""
        if self.owner_tracker.share > 1:
            return True
        return self.group.ownership_lease.allows(target, now)

    # Events from peers and targets.

    def on_message(self, sender, message):
        """Handle a message from a peer, or from this instance itself."""
        _HANDLERS[type(message)](self, sender, message)

    def on_datagram(self, datagram):
        """Handle a heartbeat message; pull a newer view or catalogue."""
        self.group.queue_datagram(datagram)
        self.anti_entropy.handle_heartbeat(datagram)

    def on_peer_up(self, name):
        """Send all inventories to a peer whose link is up.

        A new instance may take over targets from any other instance, so it
        needs the inventories of all targets.
        """
        items = tuple(self.inventories.list_all())
        if items:
            self.peers.send(name, messages.Inventories(items))

    def on_peer_lost(self, name):
        """Handle the loss of a link to a peer."""
        self.queries.handle_owner_lost(name)
        self.bookings.handle_peer_lost(name)

    def on_result(self, attempt_id, result):
        """Pass an attempt's result to the relay."""
        self.relay.post(inbox.AttemptEnded(attempt_id, result))

    def on_inventory(self, target_inventory, sent_at):
        """Pass a target's inventory to the relay.

        :param sent_at: runtime clock time at which it was asked for.
        """
        self.relay.post(
            inbox.TargetInventoryReceived(target_inventory, sent_at)
        )

    def on_connection_lost(self, target, boot):
        """Tell the relay that a connection to a target is lost."""
        self.relay.post(inbox.ConnectionLost(target, boot))

    def _on_part(self, sender, message):
        self.relay.post(inbox.PartReceived(sender, message))

    def _on_part_answer(self, _sender, message):
        if not self.bookings.handle_part_answer(message):
            self.queries.handle_part_answer(message)

    def _on_cancel(self, sender, message):
        self.relay.post(inbox.PartCancelled(sender, message.part_id))

    def _on_inventories(self, _sender, message):
        for item in message.items:
            self.clock.merge(item.stamp)
            if self.inventories.update(item):
                self.relay.post(inbox.PeerInventoryReceived(item.target))

    def _on_forward(self, sender, message):
        self.nursery.start_soon(self.bookings.handle_forward, sender, message)

    def _on_reply(self, _sender, message):
        self.bookings.handle_reply(message)

    def _on_ownership_released(self, _sender, message):
        self.group.ownership_lease.record_release(message.name, message.epoch)
        self.relay.post(inbox.Recheck())

    def _on_joining(self, _sender, message):
        """Send the view and the catalogue to a process that wants to join.

        The link to the process is kept until the process is in the view, for
        ``JOINER_LINK_S`` at most.
        """
        if not self.group.is_member:
            return
        newcomer = message.member
        self.group.add_join_request(newcomer)
        self._joiners[newcomer.name] = (
            newcomer,
            trio.current_time() + JOINER_LINK_S,
        )
        self._update_links()
        self.anti_entropy.push_both(newcomer.name)

    def _on_pull(self, sender, message):
        self.anti_entropy.push(message.what, sender)

    def _on_push(self, sender, message):
        self.anti_entropy.handle_push(sender, message)

    def adopt_announced_catalogue(self, data):
        """Adopt a catalogue that an operator's command has published.

        :param data: compressed catalogue, as bytes.
        :raises ValueError: if the bytes do not hold a catalogue.
        """
        self.anti_entropy.adopt_catalogue(data, 'operator')

    # Changes of view, liveness and configuration.

    def _make_header(self):
        """Return the Header of the next heartbeat.

        While this instance proposes a view, the header has view epoch 0,
        so that it acknowledges no view.
        """
        proposing = self.group.ownership_lease.is_proposing
        return detector.Header(
            view_epoch=0 if proposing else self.group.view.epoch,
            config_version=self.catalogue.version,
            load=self._load(),
            leaving=self.leaving,
            stamp=self.clock.tick(),
            confirmed_age_ms=self.group.confirmed_age_ms(trio.current_time()),
        )

    def _load(self):
        """Return the number of queries and bookings in progress."""
        return float(self.queries.in_progress + self.bookings.in_progress)

    async def _on_manifest(self, manifest, revision, asked_at):
        """Read the catalogue that a newer manifest in the store names."""
        await self._manifest_recovery.check(
            manifest,
            revision,
            self.catalogue,
            self._catalogue_adopted_at,
            asked_at,
        )
        if manifest.version <= self.catalogue.version:
            return
        catalogue = await publish.read_catalogue(
            self.dependencies.store, manifest
        )
        if self.keeper.adopt_if_newer(catalogue):
            self._on_catalogue('store')

    def _on_catalogue(self, source):
        self._catalogue_adopted_at = trio.current_time()
        self.journal.record(
            'config.adopted', str(self.catalogue.version), source=source
        )
        self.availability.refresh(self.catalogue)
        self._adopt_ownership_generation()
        self.anti_entropy.push_to_stale_peers()
        self._update_roles()

    def _on_view(self, _view):
        self._update_links()
        self._adopt_ownership_generation()
        self._update_roles()

    def _update_links(self):
        """Set the peers to which links are kept.

        These are the members of the view, processes that want to join and,
        until this instance is a member, its seeds.
        """
        now = trio.current_time()
        self._joiners = {
            name: (m, expires_at)
            for name, (m, expires_at) in self._joiners.items()
            if expires_at > now and self.group.view.find(name) is None
        }
        joiners = [m for m, _ in self._joiners.values()]
        seeds = [] if self.group.is_member else self._seeds()
        linked = {
            m.name: m for m in (*seeds, *joiners, *self.group.view.members)
        }
        self.peers.reconcile(linked.values())

    def _seeds(self):
        return [s for s in self.dependencies.seeds if s.name != self.own.name]

    def _adopt_ownership_generation(self):
        """Pass the owner of each target to the ownership lease.

        Once this instance has stopped its attempts at the targets that it
        no longer owns, it tells the other members.
        """
        view = self.group.view
        generation = lease.Generation(view.epoch, self.catalogue.version)
        owners = self.owner_tracker.owners(self.catalogue, view.members)
        names = [m.name for m in view.members]
        now = trio.current_time()
        self.group.ownership_lease.adopt(generation, names, owners, now)
        if (self.group.is_member or self.group.leaving) and view.epoch:
            self.nursery.start_soon(self._send_release, view.epoch)

    async def _send_release(self, epoch):
        """Tell peers that this instance has released its former targets.

        Wait until ownership has settled and no attempts at targets of other
        owners are left; send nothing if the view has changed by then.
        """
        while not self.group.ownership_lease.is_settled(trio.current_time()):
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
        while self.relay.has_unowned_attempts():
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
        if self.group.view.epoch != epoch:
            return
        released = messages.Released(epoch, self.own.name)
        for peer in self.group.view.members:
            if peer != self.own:
                self.peers.send(peer.name, released)

    def _on_liveness(self):
        dead = self.group.detector.dead_members()
        for member in dead:
            self.queries.handle_owner_lost(member.name)
        self._update_roles()

    def _update_roles(self):
        """Determine the replica sets for which this instance acts."""
        alive = self.group.alive_members()
        for name in self.owner_tracker.update_alive(self.catalogue, alive):
            self.queries.handle_owner_lost(name)
        self.relay.post(inbox.AssignmentChanged())

    def _publish_inventory(self, target_inventory):
        stamped = dataclasses.replace(
            target_inventory, stamp=self.clock.tick()
        )
        self.inventories.update(stamped)
        message = messages.Inventories((stamped,))
        for peer in self.group.view.members:
            if peer != self.own:
                self.peers.send(peer.name, message)

    # Tasks.

    async def _run_leaving_target_poll(self):
        """Poll the platform's list of leaving targets."""
        while True:
            try:
                leaving = await self.dependencies.store.targets_leaving()
                self.availability.set_leaving(leaving)
            except errors.StoreUnavailableError:
                self.metrics.count('store_errors')
            await trio.sleep(POLL_INTERVAL_S)

    async def _run_housekeeping(self):
        """Apply scheduled state changes when they are due."""
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            if not self.availability.is_due():
                continue
            if self.availability.refresh(self.catalogue):
                self._update_roles()

    async def _run_join_requests(self):
        """Ask members to add this process while it is not in the view."""
        while True:
            if not self.group.is_member and not self.group.leaving:
                await self._send_join_requests()
            await trio.sleep(JOIN_INTERVAL_S)

    async def _send_join_requests(self):
        self._update_links()
        names = {m.name for m in (*self._seeds(), *self.group.view.members)}
        for name in names - {self.own.name}:
            self.peers.send(name, messages.Joining(self.own))


_HANDLERS = {
    messages.Part: Instance._on_part,
    messages.PartAnswer: Instance._on_part_answer,
    messages.CancelPart: Instance._on_cancel,
    messages.Inventories: Instance._on_inventories,
    messages.Forward: Instance._on_forward,
    messages.Reply: Instance._on_reply,
    messages.Pull: Instance._on_pull,
    messages.Push: Instance._on_push,
    messages.Released: Instance._on_ownership_released,
    messages.Joining: Instance._on_joining,
}
