"""The composition root of an instance on the operators' platform."""

import functools
import random
import time

import trio

from savorycross.delegate import selector
from savorycross.discovery import follower as followers
from savorycross.discovery import mirror as mirrors
from savorycross.events import log as logs
from savorycross.fleet import announcer as announcers
from savorycross.fleet import directory
from savorycross.fleet import heartbeat
from savorycross.fleet import heartbeat_transport
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_registry
from savorycross.fleet import watch_duty
from savorycross.forward import engine as engines
from savorycross.forward import picker
from savorycross.forward import target_registry as target_registries
from savorycross.gateway import boot_clock
from savorycross.gateway import confirmations
from savorycross.gateway import fleet_limits
from savorycross.gateway import gateway as gateways
from savorycross.gateway import instance_settings
from savorycross.gateway import maintenance
from savorycross.gateway import memory_guard
from savorycross.gateway import metrics_page
from savorycross.gateway import own_status
from savorycross.gateway import planned_stop
from savorycross.gateway import servers
from savorycross.gateway import settings_reload
from savorycross.gateway import signals
from savorycross.gateway import store_changes
from savorycross.gateway import supervisor
from savorycross.metrics import loop_load
from savorycross.metrics import registry
from savorycross.overload import caller_subset
from savorycross.overload import machine_speed
from savorycross.rollout import protocol as rollout_protocol
from savorycross.rollout import rollouts
from savorycross.rollout import store_view
from savorycross.rollout import tasks as rollout_tasks
from savorycross.wire import buffers
from savorycross.wire import pool
from savorycross.wire import reply_size
from savorycross.wire import server
from savorycross.wire import timers as timers_module
from savorycross.workspace import freshness
from savorycross.workspace import key_check


class Instance:
    """One instance: its servers, its mirror of the store and its targets.

    :param settings: InstanceSettings.
    :param adapter: module that speaks the platform's protocols; see
        ``platform.adapter``.
    :param read_settings: callable that reads the InstanceSettings again.
    :param nursery: nursery for all tasks.
    """

    def __init__(self, settings, adapter, read_settings, nursery):
        self._settings = settings
        self._adapter = adapter
        self.log = logs.EventLog(
            settings.name, trio.current_time, gateways.SUCCESS_EVENTS
        )
        self.metrics = registry.Registry()
        self._settings_reload = settings_reload.SettingsReload(
            settings,
            read_settings,
            adapter.SettingsError,
            self._on_settings_changed,
            self.log,
        )
        self._nursery = supervisor.GuardedNursery(nursery, self.metrics)
        self._rng = random.Random()
        self._timers = timers_module.Timers()
        self._make_buffers()
        self._make_peers()
        self._make_forwarding()
        self._make_discovery()
        self._make_fleet()
        self._make_confirmations()
        self._make_rollouts()
        self._make_servers()
        self._make_stop()
        self._make_maintenance()

    def _make_buffers(self):
        self._buffers = buffers.Buffers(spare_bytes=reply_size.MAX_BODY_BYTES)
        self._memory_guard = memory_guard.MemoryGuard(
            self._buffers,
            self._adapter.make_dialect().make_refusal,
            self.log,
            self.metrics,
        )
        self._memory_guard.set_memory(self._settings.memory_bytes)

    def _make_peers(self):
        settings = self._settings
        self._own_peer = heartbeat.Peer(
            settings.name,
            int(time.time() * 1000),
            settings.data_centre,
            settings.peer_address,
            settings.caller_address,
        )
        self._own_key = self._adapter.keys.instance_key(settings.name)
        self._peer_registry = peer_registry.PeerRegistry(
            self._own_peer,
            self.log,
            on_current=lambda revision, at: self._mirror.note_peer_current(
                revision, at
            ),
        )
        self._loop_load = loop_load.LoopLoad()
        self._directory = directory.Directory(
            self._own_peer,
            self._peer_registry,
            caller_subset.CallerSubset(settings.extra_send_limits.window_s),
            lambda: self._loop_load.value,
            len(settings.seeds),
            trio.current_time(),
            self._read_speed,
        )

    def _read_speed(self):
        """Return the part of a core that this instance can use now."""
        return machine_speed.usable_speed(
            self._settings.capacity.cores, self._loop_load.lag_s
        )

    def _make_forwarding(self):
        settings = self._settings
        self._target_registry = target_registries.TargetRegistry(
            self._make_pool, self.log
        )
        self._make_limits()
        self._engine = engines.Engine(
            settings,
            self._adapter.make_dialect(),
            self._target_registry,
            picker.Picker(settings.data_centre, self._rng),
            selector.DelegateSelector(
                self._own_peer, self._directory, self._make_pool
            ),
            self._timers,
            self.log,
            self.metrics,
            self._limits.rates,
            buffers=self._buffers,
            locality=self._limits.locality,
        )
        self._limits.on_shares = self._engine.set_shares
        self._freshness = freshness.Freshness(settings.revocation_s)
        self._gateway = gateways.Gateway(
            self._engine,
            lambda: self._loop_load.lag_s,
            self._limits.quotas,
            key_check.KeyCheck(
                self._freshness,
                boot_clock.read_boot_clock,
                lambda: self._confirmations.store_confirmer.ask(),
            ),
            self._read_age_ms,
            self._is_outdated,
        )

    def _make_limits(self):
        self._limits = fleet_limits.FleetLimits(
            self._settings,
            self._own_peer,
            self._own_key,
            self._peer_registry,
            self._directory,
            self._target_registry,
            self._on_own_entry_lost,
            self._rng,
            self.log,
            self.metrics,
        )

    def _make_pool(self, address):
        return pool.Pool(address, self._nursery, self._buffers)

    def _make_discovery(self):
        self._store_changes = store_changes.StoreChangeHandler(
            self._adapter.keys,
            self._adapter.decode_configuration,
            self._gateway,
            self._target_registry,
            self.log,
            self.metrics,
            trio.current_time,
            self._limits.on_entry,
            self._read_age_ms,
        )
        self._mirror = mirrors.Mirror(
            self._store_changes.apply, self._adapter.keys.is_older
        )
        self._store = self._adapter.make_store(
            self._settings.store_address, self._nursery
        )
        self._follower = followers.Follower(
            self._store,
            self._mirror,
            self.log,
            followers.make_timing(
                self._settings.recovery_s, self._settings.change_deadline_s
            ),
            self._on_synced,
            lambda: self._watch_duty.count(trio.current_time()),
            self._lacks_targets,
            lambda now: self._watch_duty.is_on(now),
            self._freshness.confirm,
            boot_clock.read_boot_clock,
        )
        self._watch_duty = watch_duty.WatchDuty(
            self._own_peer,
            self._peer_registry,
            lambda: self._follower.is_connected,
            self._read_speed,
            trio.current_time()
            + (watch_duty.SETTLE_S if self._settings.seeds else 0.0),
            self._mirror.age_s,
            self._settings.change_deadline_s,
        )
        self._own_status = own_status.OwnStatus(
            self._directory,
            self._mirror,
            self._adapter.keys.CONFIGURATION,
            self._follower,
            self._gateway,
            self._loop_load,
            self._read_speed,
            self.log,
        )

    def _is_outdated(self):
        """Return whether changes that must be in force may be missing.

        No watch that the store does not answer lasts longer.
        """
        settings = self._settings
        max_age_s = settings.recovery_s + settings.change_deadline_s
        return self._mirror.age_s(trio.current_time()) > max_age_s

    def _read_age_ms(self):
        return self._mirror.age_ms(trio.current_time())

    def _lacks_targets(self):
        """Return whether targets are missing that requests already need."""
        return (
            not self._settings.is_first_start and self._gateway.lacks_targets()
        )

    def _make_fleet(self):
        settings = self._settings
        self._heartbeat_transport = heartbeat_transport.HeartbeatTransport(
            self._peer_registry,
            settings.seeds,
            lambda: self._own_status.heartbeat_fields(self._stop.has_begun),
            self._rng,
            self.metrics,
        )
        self._announcer = announcers.Announcer(
            self._store,
            self._own_key,
            self._own_peer,
            self.log,
            self._on_announced,
            self._follower.note_failure,
        )
        self._mirror_sync = mirror_sync.MirrorSynchronizer(
            self._mirror,
            self._follower,
            self._watch_duty,
            self._peer_registry,
            self.log,
            self._on_synced,
            self._nursery,
            lambda: self._gateway.version,
        )

    def _make_confirmations(self):
        self._confirmations = confirmations.Confirmations(
            self._settings.name,
            self._adapter.make_store(
                self._settings.store_address, self._nursery
            ),
            self._adapter.keys.CONFIGURATION,
            self._mirror,
            self._freshness,
            self._gateway,
            self._directory,
            self._limits.transport,
            self._update_caller_limits,
            self.log,
            self.metrics,
        )

    def _make_rollouts(self):
        settings = self._settings
        limits = settings.rollout_limits or instance_settings.RolloutLimits()
        keys = self._adapter.rollout_keys
        view = store_view.StoreView(
            keys, self._mirror, lambda: self._follower.is_connected, self.log
        )
        self._rollouts = rollouts.Rollouts(
            view,
            self._engine,
            settings.name,
            settings.data_centre,
            limits,
            lambda: self._directory.rate_shares(trio.current_time()),
            self._limits.transport.send_data,
            time.time,
        )
        self._store_changes.on_rollout = self._rollouts.on_item
        self._limits.transport.listen(
            rollout_protocol.claim, self._rollouts.on_message
        )
        self._rollout_tasks = rollout_tasks.RolloutTasks(
            self._rollouts, self._store
        )

    def _make_servers(self):
        adapter = self._adapter
        settings = self._settings
        handlers = {
            settings.caller_address: self._gateway.handle,
            settings.ready_address: adapter.make_ready_handler(
                self._directory
            ),
            settings.directory_address: adapter.make_directory_handler(
                self._directory, settings.directory_ttl_s
            ),
            settings.peer_address: servers.make_peer_handler(
                self._mirror, self._engine
            ),
            settings.metrics_address: self._make_metrics_page().handle,
        }
        self._servers = servers.Servers(
            settings,
            handlers,
            lambda handle: server.Server(
                handle,
                self._nursery,
                self._count_rejected,
                self._buffers,
                self._memory_guard,
            ),
        )
        self._memory_guard.servers = self._servers.all

    def _make_metrics_page(self):
        return metrics_page.MetricsPage(
            metrics_page.Sources(
                metrics=self.metrics,
                follower=self._follower,
                mirror=self._mirror,
                stores=(self._store, self._confirmations.store),
                gateway=self._gateway,
                freshness=self._freshness,
                peer_registry=self._peer_registry,
                watch_duty=self._watch_duty,
                directory=self._directory,
                read_speed=self._read_speed,
                loop_load=self._loop_load,
                count_busy_callers=lambda: self._servers.callers.busy,
                target_registry=self._target_registry,
                buffers=self._buffers,
                engine=self._engine,
                quotas=self._limits.quotas,
                locality=self._limits.locality,
            )
        )

    def _make_stop(self):
        self._stop = planned_stop.PlannedStop(
            planned_stop.Parts(
                directory=self._directory,
                gateway=self._gateway,
                servers=self._servers,
                loop_load=self._loop_load,
                farewells=(
                    self._heartbeat_transport.send_farewell,
                    self._announcer.withdraw,
                ),
            ),
            lambda: self._settings,
            self._nursery,
            self.log,
        )

    def _make_maintenance(self):
        self._maintenance = maintenance.Maintenance(
            (
                self._target_registry.prune,
                self._engine.prune,
                self._mirror.apply_held_changes,
                self._loop_load.sample,
                lambda now: self._memory_guard.check(),
                lambda now: self._update_readiness(),
                self._limits.update,
                self._limits.quotas.maintain,
            ),
            (
                self._target_registry.close_idle,
                self._mirror.forget_current,
                self._follower.restart,
            ),
            self.log,
        )

    async def run(self):
        """Serve until the stop signal, then finish requests in progress."""
        await signals.handle_signals(
            self._start, self._settings_reload.reload, self._stop.run
        )

    def _start(self):
        # From this event on, a signal to stop leads to a planned stop.
        self.log.event(
            'instance.started',
            data_centre=self._settings.data_centre,
            seeds=len(self._settings.seeds),
            is_first_start=self._settings.is_first_start,
        )
        trio.lowlevel.add_instrument(self._loop_load)
        self._limits.update(trio.current_time())
        self._start_tasks()

    def _start_tasks(self):
        tasks = {
            'timers': self._timers.run,
            'heartbeats': self._heartbeat_transport.run,
            'rates': self._limits.transport.run,
            'store follower': self._follower.run,
            'announcement': self._announcer.run,
            'mirror synchronization': self._mirror_sync.run,
            'confirmations': self._confirmations.store_confirmer.run,
            'confirmations of peers': self._confirmations.peer_confirmer.run,
            'roll-outs': self._rollout_tasks.run,
            'statuses of roll-outs': self._rollout_tasks.run_writes,
            'maintenance': self._maintenance.run,
            'settings': self._settings_reload.run,
        }
        for address, running_server in self._servers.by_address.items():
            name = f'server at port {address[1]}'
            tasks[name] = functools.partial(running_server.run, address)
        kept = supervisor.Supervisor(self.metrics)
        for name, task in tasks.items():
            self._nursery.start_soon(kept.keep_running, name, task)

    def _update_caller_limits(self):
        self._servers.callers.limits = self._gateway.configuration.limits

    def _on_synced(self):
        self._announcer.note_era(self._mirror.revision.era)
        if self._gateway.configuration is None:
            return
        self._update_caller_limits()
        self._own_status.is_synced = True
        self._update_readiness()
        # The configuration may be the first one with workspaces.
        self._confirmations.store_confirmer.ask()

    def _update_readiness(self):
        self._own_status.update_readiness(
            self._stop.has_begun, self._servers.callers.is_listening
        )

    def _on_announced(self, sent_at):
        self._limits.on_renewed(sent_at)
        self._follower.note_answer()

    def _on_own_entry_lost(self):
        if not self._stop.has_begun:
            self._announcer.rewrite_key()

    def _count_rejected(self, status):
        self.metrics.count('rejected', status=status)
        self.log.event('request.rejected', status=status)

    def _on_settings_changed(self, settings):
        self._settings = settings
        self._engine.update_settings(settings)
        self._freshness.bound_s = settings.revocation_s
        self._limits.locality.byte_value_s = settings.link_byte_s
        self._memory_guard.set_memory(settings.memory_bytes)


async def serve(settings, adapter, read_settings):
    """Run an instance until the stop signal; see ``Instance``."""
    async with trio.open_nursery() as nursery:
        instance = Instance(settings, adapter, read_settings, nursery)
        await instance.run()
        nursery.cancel_scope.cancel()
