"""One instance, without its sockets: all parts and how they meet."""

import dataclasses
import itertools
import typing

import trio

from savorycross.booking import claims
from savorycross.booking import desk as booking_desk
from savorycross.booking import router
from savorycross.catalogue import availability
from savorycross.catalogue import keeper
from savorycross.catalogue import state as states
from savorycross.daemon import news
from savorycross.entry import admission
from savorycross.entry import entries
from savorycross.entry import query_desk
from savorycross import errors
from savorycross.events import clock as clocks
from savorycross.events import journal as journals
from savorycross.membership import authority
from savorycross.membership import detector
from savorycross.membership import group as groups
from savorycross.membership import member as members
from savorycross.metrics import registry
from savorycross.ownership import roles
from savorycross.peer import messages
from savorycross.plan import inventory
from savorycross.plan import plan as plans
from savorycross.relay import assignment
from savorycross.relay import inbox
from savorycross.relay import relay as relays
from savorycross.sheet import publish

HOUSEKEEPING_INTERVAL_S = 0.1
LIST_INTERVAL_S = 1.0
JOIN_INTERVAL_S = 0.5
GREET_S = 5.0


class PeerNetwork(typing.Protocol):
    """Carries messages to peers."""

    def reconcile(self, found) -> None:
        """Keep links to just these members."""

    def is_linked(self, name, incarnation) -> bool:
        """Tell whether a process of an instance can be sent to."""

    def send(self, name, message) -> bool:
        """Queue a message; return False if it cannot be sent."""


class Datagrams(typing.Protocol):
    """Carries heartbeat messages to members."""

    async def send(self, member, datagram) -> None:
        """Send a message; it may be lost."""


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """Everything outside the instance that it works with.

    :param make_peers: callable of the instance; returns a PeerNetwork.
    :param make_datagrams: callable of the instance; returns Datagrams.
    :param make_wire: callable of the instance; returns a TargetClient.
    :param wall: callable that returns seconds since the epoch.
    :param secret: bytes that no caller knows.
    :param seeds: members to ask at first, besides the platform's list.
    """

    store: object
    make_peers: typing.Callable
    make_datagrams: typing.Callable
    make_wire: typing.Callable
    wall: typing.Callable[[], float]
    secret: bytes
    ownership: object
    policy: object
    keep_s: float = entries.KEEP_S
    seeds: tuple[members.Member, ...] = ()
    seed: int = 0


class Instance:
    """Wires the parts of one instance together.

    :param own: this instance's Member.
    :param outside: Surroundings.
    :param nursery: runs the instance's tasks.
    """

    def __init__(self, own, outside, nursery):
        self.own = own
        self.outside = outside
        self.nursery = nursery
        self.metrics = registry.Registry()
        self.clock = clocks.HybridClock(outside.wall)
        self.journal = journals.Journal(self.clock, own.name)
        self.keeper = keeper.CatalogueKeeper()
        self.availability = availability.Availability(outside.wall)
        self.table = inventory.InventoryTable()
        self.planner = plans.Planner(self.table, self.availability.is_open)
        self.leaving = False
        self._has_settled = False
        self._greeted = {}
        self.roles = roles.Roles(own.name, outside.ownership)
        part_ids = itertools.count(1)
        self.peers = outside.make_peers(self)
        self.datagrams = outside.make_datagrams(self)
        self.group = self._make_group(self.datagrams)
        self.news = news.News(
            self.group,
            self.keeper,
            self.peers.send,
            self._on_catalogue,
            self.metrics,
        )
        self.relay = relays.Relay(
            self,
            self.table,
            outside.policy,
            self.peers.send,
            self._publish_inventory,
            self.journal,
            self.metrics,
        )
        self.admission = admission.Admission()
        self.queries = query_desk.QueryDesk(
            self,
            self.admission,
            self.peers.send,
            part_ids,
            self.journal,
            self.metrics,
        )
        self.bookings = booking_desk.BookingDesk(
            own,
            outside.secret,
            claims.Claims(outside.store),
            self,
            self.peers.send,
            part_ids,
            self.journal,
            outside.wall,
            nursery,
        )
        self.wire = outside.make_wire(self)

    def _make_group(self, datagrams):
        return groups.Group(
            self.own,
            self.outside.store,
            datagrams,
            self._header,
            self._on_view,
            self._on_manifest,
            self._on_liveness,
            self.journal,
            self.outside.seed,
        )

    async def run(self):
        """Run the instance's tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.relay.run, self.wire)
            nursery.start_soon(self.group.run_heartbeats)
            nursery.start_soon(self.group.run_sync)
            nursery.start_soon(self._run_lists)
            nursery.start_soon(self._run_housekeeping)
            nursery.start_soon(self._run_joining)

    # What the entry asks.

    @property
    def catalogue(self):
        """The catalogue in force."""
        return self.keeper.current

    def plan(self, index, avoid):
        """Return the plan of a query over an index."""
        return self.planner.plan(
            self.catalogue, index, self.availability.generation, avoid
        )

    def owners(self, replica_set):
        """Return the names of possible owners, the best first."""
        return self.roles.candidates(replica_set)

    def list_entries(self):
        """Return the Entries for callers."""
        now = self.outside.wall()
        barred = {
            d.name
            for d in self.catalogue.data_centres
            if d.schedule.state_at(now) is not states.State.OPEN
        }
        loads = {p.member.name: p.load for p in self.group.detector.peers()}
        loads[self.own.name] = self._load()
        usable = [m for m in self.roles.alive if not self._is_leaving(m.name)]
        return entries.list_entries(usable, loads, barred, self.outside.keep_s)

    def _is_leaving(self, name):
        if name == self.own.name:
            return self.leaving
        peer = self.group.detector.peer(name)
        return peer is not None and peer.leaving

    def why_not_ready(self):
        """Return why the instance cannot serve, or None."""
        if self.leaving:
            return 'stopping'
        if not self.catalogue.version:
            return 'no configuration yet'
        if not self.group.is_member:
            return 'not yet a member of the view'
        if not self._has_settled and not self._settles():
            return 'ownership of targets has not settled yet'
        known = sum(
            self.table.get(t.name) is not None for t in self.catalogue.targets
        )
        if not known:
            return 'no target has stated what it holds'
        return None

    def _settles(self):
        """Note that ownership has settled once since the start."""
        now = trio.current_time()
        self._has_settled = self.group.authority.is_settled(now)
        return self._has_settled

    def update_gauges(self):
        """Set the gauges of the metrics to their present values."""
        gauges = {
            'queries_in_progress': self.queries.in_progress,
            'bookings_in_progress': self.bookings.running,
            'bookings_remembered': len(self.bookings.ledger),
            'admission_limit': self.admission.limit(0),
            'attempts_in_flight': self.relay.in_flight,
            'view_epoch': self.group.view.epoch,
            'config_version': self.catalogue.version,
            'members_alive': len(self.roles.alive),
            'first_sends': self.relay.extra_budget.first_sends,
            'extra_sends': self.relay.extra_budget.extra_sends,
        }
        for name, value in gauges.items():
            self.metrics.set_gauge(name, value)

    # What the booking desk asks.

    def route(self, workload, key):
        """Return (owner, Place) pairs for a booking, the best first."""
        found = self.catalogue.workload_by_name.get(workload)
        if found is None:
            return []
        services = self.catalogue.services_by_index.get(found.index, [])
        targets = [
            t
            for s in services
            for t in self.catalogue.targets_by_service.get(s.name, ())
        ]
        sets = list(dict.fromkeys((t.service, t.replica_set) for t in targets))
        if not sets:
            return []
        service, replica_set = sets[booking_desk.spread(key, len(sets))]
        place = router.Place(
            replica_set, plans.shard_key(service, 0), found.priority
        )
        return [(owner, place) for owner in self.owners(replica_set)]

    def is_running(self, name, incarnation):
        """Tell whether a process of an instance may still run."""
        found = self.group.view.find(name)
        if found is not None and found.incarnation == incarnation:
            return True
        return self.peers.is_linked(name, incarnation)

    # What the relay asks.

    def current_assignment(self):
        """Return the replica sets that this instance acts for."""
        owned = self.roles.acted_for()
        return assignment.Assignment(
            self.catalogue, owned, self.availability.states
        )

    def may_send_cold(self, target, now):
        """Tell whether a target that may be cold may be sent to."""
        if self.roles.share > 1:
            return True
        return self.group.authority.allows(target, now)

    # What peers say.

    def on_message(self, sender, message):
        """Take a message from a peer, or from this instance itself."""
        _HANDLERS[type(message)](self, sender, message)

    def on_datagram(self, datagram):
        """Take a heartbeat message, and ask for news it tells of."""
        self.group.received(datagram)
        self.news.heard(datagram)

    def on_peer_up(self, name):
        """A link to a peer is up: tell it what targets hold.

        A newcomer takes targets over from any instance, so it needs to know
        of all.
        """
        items = tuple(self.table.all())
        if items:
            self.peers.send(name, messages.Inventories(items))

    def on_peer_lost(self, name):
        """A link to a peer has ended."""
        self.queries.owner_lost(name)
        self.bookings.peer_lost(name)

    def on_result(self, attempt_id, result):
        """Hand an attempt's result to the relay."""
        self.relay.post(inbox.AttemptEnded(attempt_id, result))

    def on_inventory(self, found):
        """Hand a target's inventory to the relay."""
        self.relay.post(inbox.TargetInventoryReceived(found))

    def on_connection_lost(self, target, boot):
        """Tell the relay that a connection to a target has ended."""
        self.relay.post(inbox.ConnectionLost(target, boot))

    def _on_part(self, sender, message):
        self.relay.post(inbox.PartReceived(sender, message))

    def _on_answer(self, _sender, message):
        if not self.bookings.part_answered(message):
            self.queries.part_answered(message)

    def _on_cancel(self, sender, message):
        self.relay.post(inbox.PartCancelled(sender, message.part_id))

    def _on_inventories(self, _sender, message):
        for item in message.items:
            self.clock.merge(item.stamp)
            if self.table.update(item):
                self.relay.post(inbox.PeerInventoryReceived(item.target))

    def _on_forward(self, sender, message):
        self.nursery.start_soon(self.bookings.serve_forward, sender, message)

    def _on_reply(self, _sender, message):
        self.bookings.replied(message)

    def _on_released(self, _sender, message):
        self.group.authority.released(message.name, message.epoch)
        self.relay.post(inbox.Recheck())

    def _on_joining(self, _sender, message):
        """Answer a newcomer with all that it needs to know."""
        if not self.group.is_member:
            return
        newcomer = message.member
        self.group.asked_to_add(newcomer)
        self._greeted[newcomer.name] = (
            newcomer,
            trio.current_time() + GREET_S,
        )
        self._retain_links()
        self.news.push_all(newcomer.name)

    def _on_pull(self, sender, message):
        self.news.push(message.what, sender)

    def _on_push(self, sender, message):
        self.news.pushed(sender, message)

    def announced(self, data):
        """Take a packed catalogue that an operator says has landed.

        :raises ValueError: if the bytes are no catalogue.
        """
        self.news.take(data, 'operator')

    # Changes of view, liveness and configuration.

    def _header(self):
        proposing = self.group.authority.is_proposing
        return detector.Header(
            view_epoch=0 if proposing else self.group.view.epoch,
            config_version=self.catalogue.version,
            load=self._load(),
            leaving=self.leaving,
            stamp=self.clock.tick(),
        )

    def _load(self):
        return float(self.queries.in_progress + self.bookings.running)

    async def _on_manifest(self, manifest):
        if manifest.version <= self.catalogue.version:
            return
        found = await publish.read_catalogue(self.outside.store, manifest)
        if self.keeper.adopt_if_newer(found):
            self._on_catalogue('store')

    def _on_catalogue(self, source):
        self.journal.record(
            'config.adopted', str(self.catalogue.version), source=source
        )
        self.availability.refresh(self.catalogue)
        self._adopt_generation()
        self.news.spread()
        self._change_duties()

    def _on_view(self, _view):
        self._retain_links()
        self._adopt_generation()
        self._change_duties()

    def _retain_links(self):
        now = trio.current_time()
        self._greeted = {
            name: (m, until)
            for name, (m, until) in self._greeted.items()
            if until > now and self.group.view.find(name) is None
        }
        guests = [m for m, _ in self._greeted.values()]
        seeds = [] if self.group.is_member else self._seeds()
        found = {
            m.name: m for m in (*seeds, *guests, *self.group.view.members)
        }
        self.peers.reconcile(found.values())

    def _seeds(self):
        return [s for s in self.outside.seeds if s.name != self.own.name]

    def _adopt_generation(self):
        """Tell the authority who owns which target now."""
        view = self.group.view
        generation = authority.Generation(view.epoch, self.catalogue.version)
        owners = self.roles.owners(self.catalogue, view.members)
        names = [m.name for m in view.members]
        now = trio.current_time()
        self.group.authority.adopt(generation, names, owners, now)
        if (self.group.is_member or self.group.leaving) and view.epoch:
            self.nursery.start_soon(self._release, view.epoch)

    async def _release(self, epoch):
        """Tell peers once this instance has stopped what it lost."""
        while not self.group.authority.is_settled(trio.current_time()):
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
        while self.relay.has_unowned_attempts():
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
        if self.group.view.epoch != epoch:
            return
        released = messages.Released(epoch, self.own.name)
        for found in self.group.view.members:
            if found != self.own:
                self.peers.send(found.name, released)

    def _on_liveness(self):
        dead = self.group.detector.dead()
        for found in dead:
            self.queries.owner_lost(found.name)
        self._change_duties()

    def _change_duties(self):
        """Work out for which replica sets this instance acts."""
        alive = self.group.alive()
        for name in self.roles.change(self.catalogue, alive):
            self.queries.owner_lost(name)
        self.relay.post(inbox.AssignmentChanged())

    def _publish_inventory(self, news):
        stamped = dataclasses.replace(news, stamp=self.clock.tick())
        self.table.update(stamped)
        message = messages.Inventories((stamped,))
        for found in self.group.view.members:
            if found != self.own:
                self.peers.send(found.name, message)

    # Tasks.

    async def _run_lists(self):
        """Read the platform's lists now and then."""
        while True:
            try:
                leaving = await self.outside.store.targets_leaving()
                self.availability.set_leaving(leaving)
            except errors.StoreUnavailableError:
                self.metrics.count('store_errors')
            await trio.sleep(LIST_INTERVAL_S)

    async def _run_housekeeping(self):
        """Follow scheduled states, and renew ownership checks."""
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            if not self.availability.is_due():
                continue
            if self.availability.refresh(self.catalogue):
                self._change_duties()

    async def _run_joining(self):
        """Ask members to add this process while it is not in the view."""
        while True:
            if not self.group.is_member and not self.group.leaving:
                await self._ask_to_join()
            await trio.sleep(JOIN_INTERVAL_S)

    async def _ask_to_join(self):
        self._retain_links()
        known = {m.name for m in (*self._seeds(), *self.group.view.members)}
        for name in known - {self.own.name}:
            self.peers.send(name, messages.Joining(self.own))


_HANDLERS = {
    messages.Part: Instance._on_part,
    messages.PartAnswer: Instance._on_answer,
    messages.CancelPart: Instance._on_cancel,
    messages.Inventories: Instance._on_inventories,
    messages.Forward: Instance._on_forward,
    messages.Reply: Instance._on_reply,
    messages.Pull: Instance._on_pull,
    messages.Push: Instance._on_push,
    messages.Released: Instance._on_released,
    messages.Joining: Instance._on_joining,
}
