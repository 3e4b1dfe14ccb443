"""The composition root of an instance on the operators' platform."""

import random
import signal
import time

import trio

from savorycross.delegate import batch_handler
from savorycross.delegate import selector
from savorycross.discovery import follower as followers
from savorycross.discovery import mirror as mirrors
from savorycross.events import log as logs
from savorycross.fleet import announcer as announcers
from savorycross.fleet import directory
from savorycross.fleet import heartbeat
from savorycross.fleet import heartbeat_transport as beacons
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_registry as peers_module
from savorycross.forward import engine as engines
from savorycross.forward import picker
from savorycross.forward import roster as rosters
from savorycross.gateway import gateway as gateways
from savorycross.gateway import state as states
from savorycross.metrics import registry
from savorycross.wire import messages
from savorycross.wire import pool
from savorycross.wire import server
from savorycross.wire import timers as timers_module

PRUNE_INTERVAL_S = 0.5
# Time in which an instance hears of the others after its start.
LEARN_S = 2.0
# How often the settings are read again, as they may change unannounced.
SETTINGS_INTERVAL_S = 2.0
# Clocks that disagree by more than this show that the node stood still.
FREEZE_S = 0.3
METRICS_TYPE = b'text/plain; version=0.0.4'
# Part of the grace time that is left when the instance ends anyway.
STOP_MARGIN_S = 0.5
STOP_CHECK_S = 0.05
# Callers keep an entry answer up to this many times its time.
KEEP_FACTOR = 3.5


class Instance:
    """One instance: its listeners, its view of the store, its targets.

    :param site: Site.
    :param adapter: module with the names and calls of the outside; see
        ``platform.adapter``.
    :param read_site: callable that returns the Site anew.
    """

    def __init__(self, site, adapter, read_site, nursery):
        self._site = site
        self._adapter = adapter
        self._read_site = read_site
        self._nursery = nursery
        self.log = logs.EventLog(
            site.name, trio.current_time, gateways.SUCCESSES
        )
        self.metrics = registry.Registry()
        self._rng = random.Random()
        self._timers = timers_module.Timers()
        self._make_peers()
        self._make_forwarding()
        self._make_discovery()
        self._make_fleet()
        self._make_servers()
        self._is_stopping = False

    def _make_peers(self):
        site = self._site
        self._own = heartbeat.Peer(
            site.name,
            int(time.time() * 1000),
            site.data_centre,
            site.peer_address,
            site.caller_address,
        )
        self._peers = peers_module.PeerRegistry(self._own, self.log)

    def _make_forwarding(self):
        site = self._site
        self._roster = rosters.Roster(self._make_pool, self.log)
        self._engine = engines.Engine(
            site,
            self._adapter.make_dialect(),
            self._roster,
            picker.Picker(site.data_centre, self._rng),
            selector.DelegateSelector(self._own, self._peers, self._make_pool),
            self._timers,
            self.log,
            self.metrics,
        )
        self._gateway = gateways.Gateway(self._engine)

    def _make_pool(self, address):
        return pool.Pool(address, self._nursery)

    def _make_discovery(self):
        self._state = states.StoreState(
            self._adapter.keys,
            self._adapter.decode_configuration,
            self._gateway,
            self._roster,
            self.log,
            self.metrics,
            trio.current_time,
            self._on_peer_item,
        )
        self._mirror = mirrors.Mirror(self._state.change)
        self._store = self._adapter.make_store(
            self._site.store_address, self._nursery
        )
        self._follower = followers.Follower(
            self._store,
            self._mirror,
            self.log,
            followers.make_timing(self._site.settled_s, self._site.applied_s),
            self._on_synced,
            self._count_instances,
            self._is_lacking,
        )

    def _is_lacking(self):
        """Whether targets are missing that callers already wait for."""
        return not self._site.is_first_start and self._gateway.is_lacking()

    def _make_fleet(self):
        site = self._site
        self._directory = directory.Directory(self._own, self._peers)
        self._beacon = beacons.HeartbeatTransport(
            self._peers, site.seeds, self._describe, self._rng, self.metrics
        )
        self._own_key = self._adapter.keys.instance_key(site.name)
        self._announcer = announcers.Announcer(
            self._store, self._own_key, self._own, self.log
        )
        self._exchange = mirror_sync.MirrorSynchronizer(
            self._mirror,
            self._follower,
            self._peers,
            self.log,
            self._on_synced,
            self._nursery,
        )

    def _make_servers(self):
        adapter = self._adapter
        site = self._site
        handlers = {
            site.caller_address: self._gateway.handle,
            site.ready_address: adapter.make_ready_handler(self._directory),
            site.entry_address: adapter.make_directory_handler(
                self._directory, site.keep_s
            ),
            site.peer_address: self._make_peer_handler(),
            site.metrics_address: self._serve_metrics,
        }
        self._servers = {
            address: server.Server(handle, self._nursery, self._count_rejected)
            for address, handle in handlers.items()
        }
        self._callers = self._servers[site.caller_address]
        self._peer_server = self._servers[site.peer_address]

    def _make_peer_handler(self):
        copy = mirror_sync.make_handler(self._mirror)
        found = batch_handler.BatchHandler(self._engine)

        def handle(request, respond):
            if request.target == batch_handler.PATH:
                return found.handle(request, respond)
            return copy(request, respond)

        return handle

    async def run(self):
        """Serve until the stop signal, then until the callers are gone."""
        self.log.event(
            'instance.started',
            data_centre=self._site.data_centre,
            seeds=len(self._site.seeds),
            is_first_start=self._site.is_first_start,
        )
        # Limits are shared with others before any of them was heard.
        self._engine.set_instances(len(self._site.seeds) + 1)
        start = self._nursery.start_soon
        start(self._timers.run)
        for address, found in self._servers.items():
            start(found.run, address)
        start(self._beacon.run)
        start(self._follower.run)
        start(self._announcer.run)
        start(self._exchange.run)
        start(self._look_after)
        start(self._watch_settings)
        await self._take_signals()

    @property
    def _busy(self):
        """Number of connections of callers and peers that wait."""
        return self._callers.busy + self._peer_server.busy

    def _describe(self):
        return {
            'flags': self._directory.is_ready * heartbeat.READY
            | self._is_stopping * heartbeat.LEAVING,
            'revision': self._mirror.revision,
            'has_store': self._follower.is_connected,
        }

    def _on_synced(self):
        configuration = self._gateway.configuration
        if configuration is None:
            return
        self._callers.limits = configuration.limits
        if not self._is_stopping and not self._directory.is_ready:
            self._directory.is_ready = True
            self.log.event('instance.ready', version=configuration.version)

    def _on_peer_item(self, key, item):
        if key == self._own_key:
            if item is None and not self._is_stopping:
                self._announcer.rewrite_key()
            return
        if item is None:
            return
        try:
            peer = heartbeat.decode_peer(item.value)
        except ValueError as exc:
            self.log.event('instance.invalid', key=key, reason=str(exc))
            return
        self._peers.register(peer, trio.current_time())
        self._engine.set_instances(self._count_instances())

    def _count_instances(self):
        return self._peers.count(trio.current_time())

    def _count_rejected(self, status):
        self.metrics.count('rejected', status=status)
        self.log.event('request.rejected', status=status)

    async def _look_after(self):
        """Do what is due from time to time, and notice a freeze."""
        offset = _clock_offset()
        started_at = trio.current_time()
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            now = trio.current_time()
            self._roster.prune(now)
            self._engine.prune(now)
            self._mirror.apply_due_removals(now)
            if now - started_at > LEARN_S:
                self._engine.set_instances(self._count_instances())
            found = _clock_offset()
            if found - offset > FREEZE_S:
                self.log.event('instance.woke', stood_s=found - offset)
                self._roster.drop_idle()
                self._follower.restart()
            offset = found

    def _serve_metrics(self, request, respond):
        now = trio.current_time()
        gauge = self.metrics.set_gauge
        gauge('store_connected', int(self._follower.is_connected))
        gauge('store_revision', self._mirror.revision)
        gauge('instances', self._count_instances())
        gauge('busy_callers', self._callers.busy)
        states = self._roster.states()
        gauge('targets', len(states))
        gauge('targets_ejected', sum(s.is_ejected(now) for s in states))
        gauge('targets_cold', sum(s.is_cold(now) for s in states))
        gauge('target_connections', sum(s.pool.size for s in states))
        gauge('budgets_spent', self._engine.count_spent(now))
        gauge('delegates', self._engine.delegates.count(now))
        headers = ((b'Content-Type', METRICS_TYPE),)
        body = self.metrics.render().encode()
        respond(messages.Reply(200, headers, body))

    async def _watch_settings(self):
        while True:
            await trio.sleep(SETTINGS_INTERVAL_S)
            self._reload()

    async def _take_signals(self):
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*signals) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    break
                self.log.event('settings.reload_asked')
                self._reload()
            await self._stop()

    def _reload(self):
        try:
            found = self._read_site()
        except self._adapter.SettingsError as exc:
            self.log.event('settings.invalid', reason=exc.message)
            return
        if found == self._site:
            return
        self._site = found
        self._engine.set_site(found)
        self.log.event('settings.changed')

    async def _stop(self):
        """Leave the directory, serve what still comes, then end."""
        started_at = trio.current_time()
        self._is_stopping = True
        self._directory.is_ready = False
        for found in self._servers.values():
            found.is_stopping = True
        self.log.event('instance.stopping', busy=self._callers.busy)
        await self._beacon.send(to_all=True)
        self._nursery.start_soon(self._announcer.withdraw)
        quiet_at = started_at + KEEP_FACTOR * self._site.keep_s
        end_at = started_at + self._site.grace_s - STOP_MARGIN_S
        while (now := trio.current_time()) < end_at:
            if now >= quiet_at and not self._busy:
                break
            await trio.sleep(STOP_CHECK_S)
        self.log.event('instance.stopped', cut=self._callers.busy)


def _clock_offset():
    """Return how long the node has stood still since its start."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


async def serve(site, adapter, read_site):
    """Run an instance until it is told to stop."""
    async with trio.open_nursery() as nursery:
        found = Instance(site, adapter, read_site, nursery)
        await found.run()
        nursery.cancel_scope.cancel()
