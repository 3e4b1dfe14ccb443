"""The page with the counters and the current state of an instance."""

import dataclasses

import trio

from savorycross.gateway import boot_clock
from savorycross.metrics import process_usage
from savorycross.wire import messages

CONTENT_TYPE = b'text/plain; version=0.0.4'


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The parts of an instance whose state the page shows.

    :param metrics: Registry.
    :param follower: Follower of the store.
    :param mirror: Mirror of the store.
    :param stores: clients of the store.
    :param gateway: Gateway.
    :param freshness: Freshness of the keys.
    :param peer_registry: PeerRegistry.
    :param watch_duty: WatchDuty.
    :param directory: Directory.
    :param read_speed: callable that returns the part of a core that the
        instance can use now.
    :param loop_load: LoopLoad.
    :param count_busy_callers: callable that returns the number of callers
        with a request in progress.
    :param target_registry: TargetRegistry.
    :param buffers: Buffers of all connections.
    :param engine: Engine.
    :param quotas: Quotas.
    :param locality: Locality.
    """

    metrics: object
    follower: object
    mirror: object
    stores: tuple
    gateway: object
    freshness: object
    peer_registry: object
    watch_duty: object
    directory: object
    read_speed: object
    loop_load: object
    count_busy_callers: object
    target_registry: object
    buffers: object
    engine: object
    quotas: object
    locality: object


class MetricsPage:
    """Serves the metrics of an instance.

    :param sources: Sources.
    """

    def __init__(self, sources):
        self._sources = sources

    def handle(self, request, respond):
        """Respond with all metrics; see ``wire.server.Handler``."""
        now = trio.current_time()
        self._set_store_gauges()
        self._set_fleet_gauges(now)
        self._set_target_gauges(now)
        self._set_request_gauges(now)
        self._set_process_gauges()
        headers = ((b'Content-Type', CONTENT_TYPE),)
        body = self._sources.metrics.render().encode()
        respond(messages.Reply(200, headers, body))

    def _set_store_gauges(self):
        sources = self._sources
        gauge = sources.metrics.set_gauge
        gauge('store_connected', int(sources.follower.is_connected))
        gauge('store_revision', sources.mirror.revision.number)
        gauge('store_era', sources.mirror.revision.era)
        age_ms = sources.mirror.age_ms(trio.current_time())
        if age_ms is not None:
            gauge('store_age_seconds', age_ms / 1000)
        gauge(
            'store_connections',
            sum(store.connection_count for store in sources.stores),
        )
        if sources.gateway.has_workspaces and sources.freshness.bound_s:
            age_s = sources.freshness.age_s(boot_clock.read_boot_clock())
            gauge('keys_confirmed_age_seconds', round(age_s, 3))

    def _set_fleet_gauges(self, now):
        sources = self._sources
        gauge = sources.metrics.set_gauge
        gauge('instances', sources.peer_registry.count(now))
        gauge('fleet_large', int(sources.peer_registry.is_large))
        gauge('instances_suspected', sources.peer_registry.count_suspected())
        gauge('store_watching', int(sources.watch_duty.is_on(now)))
        gauge('instances_listed', len(sources.directory.addresses(now)))

    def _set_target_gauges(self, now):
        sources = self._sources
        gauge = sources.metrics.set_gauge
        states = sources.target_registry.states()
        gauge('targets', len(states))
        gauge('targets_ejected', sum(s.is_ejected(now) for s in states))
        gauge('targets_cold', sum(s.is_cold(now) for s in states))
        gauge('targets_limited', sum(s.rate.is_limited for s in states))
        gauge('target_connections', sum(s.pool.size for s in states))

    def _set_request_gauges(self, now):
        sources = self._sources
        gauge = sources.metrics.set_gauge
        gauge('busy_callers', sources.count_busy_callers())
        gauge('budgets_spent', sources.engine.count_exhausted_budgets(now))
        gauge('waiting', sources.engine.count_waiting())
        gauge('workspaces_limited', sources.quotas.count_limited())
        gauge('quota_waiting', sources.gateway.count_held())
        gauge('services_leaving', sources.locality.count_leaving())
        sources.locality.use.set_gauges(sources.metrics)
        sources.gateway.workspace_counts.set_gauges(sources.metrics)
        gauge('delegates', sources.engine.delegates.count(now))

    def _set_process_gauges(self):
        sources = self._sources
        gauge = sources.metrics.set_gauge
        gauge('machine_speed', round(sources.read_speed(), 3))
        gauge('loop_load', round(sources.loop_load.value, 3))
        gauge('loop_lag_seconds', round(sources.loop_load.lag_s, 4))
        for holder, count in sources.buffers.by_holder().items():
            gauge('buffered_bytes', count, holder=holder)
        gauge('buffer_limit_bytes', sources.buffers.limit_bytes)
        usage = {
            'memory_bytes': process_usage.read_resident_bytes(),
            'open_descriptors': process_usage.count_descriptors(),
        }
        for name, value in usage.items():
            if value is not None:
                gauge(name, value)
