"""A soak run: the store, backends, instances and callers."""

import contextlib
import dataclasses
import itertools
import json
import random

import trio

from savorycross import errors
from savorycross.wire import client
from soak import caller
from soak import checks
from soak import faults
from soak import process
from soak import proxy
from soak import workspaces
from standins import backend as backends
from standins import kv_model
from standins import kv_server
from standins import loopback

ZONES = ('bilbo', 'donosti', 'iruna')
SHARD_SETS = (('a1', 'a2', 'a3', 'a4'), ('b1', 'b2', 'b3', 'b4', 'b5', 'b6'))
UNSHARDED_SERVICES = ('one', 'once')
REPLICAS_PER_SHARD = 3
START_TIMEOUT_S = 30.0
RECOVERY_S = 12.0
FINAL_LOAD_S = 4.0
DRAIN_LINGER_S = 5.0
PROCESS_CHECK_INTERVAL_S = 0.05
STORE_PORT = 18200


@dataclasses.dataclass(slots=True)
class ProxiedBackend:
    """A backend and the proxy in front of it."""

    backend: backends.Backend
    proxy: proxy.Proxy


class Testbed:
    """One soak run.

    :param seed: seed of faults and arrivals.
    :param folder: folder for logs and settings.
    :param nursery: nursery of all tasks of the run.
    :param n_instances: number of instances.
    :param n_callers: number of callers.
    """

    def __init__(self, seed, folder, nursery, n_instances=4, n_callers=8):
        self.rng = random.Random(seed)
        self.model = kv_model.KvModel()
        self.store = kv_server.KvServer(self.model, nursery)
        self.checks = checks.Checks(self)
        self.instances = []
        self.backends = []
        self.recovered_at = 0.0
        # Latency objective of the calls to several services.
        self.gather_goal_ms = 150
        # How many times callers repeat a failed call at once.
        self.repeats = 0
        self._nursery = nursery
        self._folder = folder
        self._subnet = loopback.hold_network()
        self._n_instances = n_instances
        self._n_callers = n_callers
        self._backend_numbers = itertools.count(1)
        self._version = 0
        self._shard_set_index = 0
        self._extra_routes = 0
        # None for a run without keys.
        self.workspaces = None
        self._keys = {}
        self._unplanned_faults = []

    async def run(self, seconds, only=None):
        """Run callers and faults, then check; return the violations.

        :param seconds: duration of the faults.
        :param only: names of faults, separated by commas; all if empty.
        """
        self.workspaces = workspaces.Workspaces()
        try:
            await self.start()
            self._nursery.start_soon(self._check_processes)
            for i in range(self._n_callers):
                new_caller = caller.Caller(
                    self,
                    f'c{i}',
                    random.Random(self.rng.random()),
                    self._nursery,
                    workspaces.NAMES[i % len(workspaces.NAMES)],
                )
                self._nursery.start_soon(new_caller.run)
            await trio.sleep(2)
            injector = faults.FaultInjector(
                self, random.Random(self.rng.random())
            )
            await injector.run(seconds, only)
            await trio.sleep(RECOVERY_S)
            self.recovered_at = trio.current_time()
            await trio.sleep(FINAL_LOAD_S)
            self.checks.check_health()
        finally:
            self.stop()
        self.checks.finish()
        return self.checks.violations

    async def start(self):
        """Start store, backends and instances; return once all are ready."""
        await self._start_store()
        await self._start_backends()
        self._configure()
        await self._start_instances()
        await self._wait_until_ready()

    def stop(self):
        """Kill the instances."""
        for instance in self.instances:
            instance.kill()

    def last_fault_end(self, at):
        """Return when the last unplanned fault that began by a time ended.

        :param at: clock time in seconds; returned if a fault lasts then.
        :returns: clock time in seconds, 0 without any such fault.
        """
        latest_end = 0.0
        for start, end in self._unplanned_faults:
            if start <= at:
                latest_end = max(latest_end, min(end[0], at))
        return latest_end

    @contextlib.contextmanager
    def record_fault(self, kind, is_planned):
        """Record a fault for as long as the context lasts."""
        end = [float('inf')]
        if not is_planned:
            self._unplanned_faults.append((trio.current_time(), end))
        try:
            yield
        finally:
            end[0] = trio.current_time()

    async def replace_backend(self, proxied_backend, how):
        """End a backend and start another in its place.

        :param proxied_backend: ProxiedBackend.
        :param how: 'crash', 'vanish' or 'drain'.
        """
        old = proxied_backend.backend
        if self.checks.left_at.get(old.id) is not None:
            return
        self.checks.left_at[old.id] = trio.current_time()
        if how == 'crash':
            old.stop()
            await trio.sleep(2)
            self.model.remove(old.key)
        elif how == 'vanish':
            self.model.remove(old.key)
        else:
            # Some say so in their answers only, at first.
            old.is_leaving = True
            await trio.sleep(self.rng.choice([0.0, 2.0]))
            old.announce('draining')
        self.backends.remove(proxied_backend)
        await self._add_backend(old.service, old.zone)
        await trio.sleep(DRAIN_LINGER_S)
        self.model.remove(old.key)
        old.stop()

    def reshard(self):
        """Write a new configuration version with the other set of shards."""
        self._shard_set_index = 1 - self._shard_set_index
        self._configure()

    def replace_key(self):
        """Write a new configuration version with another key."""
        self.workspaces.replace_key()
        self._configure()

    def add_routes(self, count):
        """Write a new configuration version with further routes."""
        self._extra_routes += count
        self._configure()

    def declare_workspaces(self, keys):
        """Write a new configuration version with workspaces.

        :param keys: list of keys by name of the workspace.
        """
        self._keys = keys
        self._configure()

    async def restore_store(self, older, delay_s):
        """Restore the store, and let others write again what it lost.

        :param older: copy of the store.
        :param delay_s: seconds until operators and backends write.
        """
        written = {
            k: i.value
            for k, i in self.model.items.items()
            if k.startswith(('op/', 'servers/'))
        }
        self.model.restore(older)
        restored_at = self.model.revision
        self.store.is_busy = False
        await trio.sleep(delay_s)
        for key, item in list(self.model.items.items()):
            if not key.startswith(('op/', 'servers/')):
                continue
            if key not in written and item.rev <= restored_at:
                self.model.remove(key)
        for key, value in written.items():
            item = self.model.items.get(key)
            if item is None or (
                item.rev <= restored_at and item.value != value
            ):
                self.model.put(key, value)
        if self.workspaces is not None:
            self.workspaces.note_restore()

    def _configure(self):
        self._version += self.rng.randint(1, 3)
        self.checks.shard_sets.append(SHARD_SETS[self._shard_set_index])
        common = {'host': caller.HOST, 'timeout_ms': 1500, 'attempts': 2}
        idempotent = {'kind': 'idempotent', **common}
        routes = [
            {
                'name': 'all',
                'prefix': '/all/',
                'goal_ms': self.gather_goal_ms,
                'fanout': SHARD_SETS[self._shard_set_index],
                'top_k': checks.TOP_K,
                'min_share': checks.MIN_COVERAGE,
                **idempotent,
            },
            {
                'name': 'one',
                'prefix': '/one/',
                'goal_ms': 200,
                'service': 'one',
                **idempotent,
            },
            {
                'name': 'once',
                'prefix': '/once/',
                'goal_ms': 200,
                'service': 'once',
                'kind': 'non_idempotent',
                **common,
            },
        ]
        routes += [
            {
                'name': f'extra-{i}',
                'prefix': f'/extra-{i}/',
                'service': 'one',
                **idempotent,
            }
            for i in range(self._extra_routes)
        ]
        names = [*itertools.chain(*SHARD_SETS), *UNSHARDED_SERVICES]
        services = [{'name': n, 'max_conns': 60} for n in names]
        document = {
            'version': self._version,
            'routes': routes,
            'services': services,
            'tenants': [
                {'name': name, 'api_keys': keys}
                for name, keys in self._keys.items()
            ],
        }
        if self.workspaces is not None:
            document['tenants'] = self.workspaces.describe()
        self.model.put('op/config', json.dumps(document).encode())

    async def _check_processes(self):
        while True:
            await trio.sleep(PROCESS_CHECK_INTERVAL_S)
            self.checks.check_processes()

    async def _start_store(self):
        self._nursery.start_soon(self.store.run, self._store_address)
        await trio.sleep(0.05)

    @property
    def _store_address(self):
        return f'{self._subnet}.250', STORE_PORT

    async def _start_backends(self):
        for service in UNSHARDED_SERVICES:
            for zone in ZONES:
                await self._add_backend(service, zone)
        # Each shard is missing in one zone, which has to use delegates for it.
        for number, service in enumerate(itertools.chain(*SHARD_SETS)):
            for i in range(REPLICAS_PER_SHARD):
                zone = ZONES[(number + i % 2) % len(ZONES)]
                await self._add_backend(service, zone)

    async def _add_backend(self, service, zone):
        backend = backends.Backend(
            f'{service}+{next(self._backend_numbers)}',
            service,
            zone,
            self.model,
            self._nursery,
            self.checks.runs,
            random.Random(self.rng.random()),
        )
        await self._nursery.start(backend.run)
        backend_proxy = proxy.Proxy(backend.address)
        await self._nursery.start(backend_proxy.run)
        backend.announced_address = backend_proxy.address
        backend.announce()
        self.backends.append(ProxiedBackend(backend, backend_proxy))

    async def _start_instances(self):
        ips = [f'{self._subnet}.{i + 1}' for i in range(self._n_instances)]
        for i, ip in enumerate(ips):
            store_proxy = proxy.Proxy(self._store_address)
            await self._nursery.start(store_proxy.run)
            instance = process.Instance(
                f'entry-{i + 1}',
                ip,
                ZONES[i % len(ZONES)],
                ips[:3],
                store_proxy,
                self._folder,
            )
            self.instances.append(instance)
            instance.start()

    async def _wait_until_ready(self):
        with trio.fail_after(START_TIMEOUT_S):
            for instance in self.instances:
                while not await self.is_ready(instance):
                    await trio.sleep(0.1)

    async def is_ready(self, instance):
        """Return whether an instance accepts calls."""
        ready_client = client.Client(instance.address('ready'), self._nursery)
        try:
            reply = await ready_client.call(b'GET', b'/v1/readyz')
        except errors.ConnectionLostError:
            return False
        finally:
            ready_client.close()
        return reply.status == 200
