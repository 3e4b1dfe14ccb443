"""Store, backends, instances and callers of one run."""

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
from standins import backend as backends
from standins import kv_model
from standins import kv_server

ZONES = ('bilbo', 'donosti', 'iruna')
SHARD_SETS = (('a1', 'a2', 'a3', 'a4'), ('b1', 'b2', 'b3', 'b4', 'b5', 'b6'))
SINGLE = ('one', 'once')
COPIES = 3
START_TIMEOUT_S = 30.0
RECOVERY_S = 12.0
FINAL_S = 4.0
DRAIN_LINGER_S = 5.0
STORE_ADDRESS_PORT = 18200


@dataclasses.dataclass(slots=True)
class Place:
    """A backend behind a proxy."""

    backend: backends.Backend
    proxy: proxy.Proxy


class World:
    """One run.

    :param seed: fixes faults and arrivals.
    :param folder: where logs go.
    """

    def __init__(self, seed, folder, nursery, n_instances=4, n_callers=8):
        self.rng = random.Random(seed)
        self.model = kv_model.KvModel()
        self.store = kv_server.KvServer(self.model, nursery)
        self.checks = checks.Checks(self)
        self.instances = []
        self.backends = []
        self.recovered_at = 0.0
        self._nursery = nursery
        self._folder = folder
        self._net = f'127.{10 + seed % 200}.{seed // 200 % 250}'
        self._n_instances = n_instances
        self._n_callers = n_callers
        self._numbers = itertools.count(1)
        self._version = 0
        self._set = 0
        self._unplanned = []

    async def run(self, seconds, only=None):
        """Play the run and return the violations."""
        try:
            await self.start()
            for i in range(self._n_callers):
                found = caller.Caller(
                    self,
                    f'c{i}',
                    random.Random(self.rng.random()),
                    self._nursery,
                )
                self._nursery.start_soon(found.run)
            await trio.sleep(2)
            injected = faults.Faults(self, random.Random(self.rng.random()))
            await injected.run(seconds, only)
            await trio.sleep(RECOVERY_S)
            self.recovered_at = trio.current_time()
            await trio.sleep(FINAL_S)
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
        """End the instances."""
        for found in self.instances:
            found.kill()

    def calm_since(self, at):
        """Return when the last unplanned fault before a time ended."""
        since = 0.0
        for start, end in self._unplanned:
            if start <= at:
                since = max(since, min(end[0], at))
        return since

    @contextlib.contextmanager
    def fault(self, kind, is_planned):
        """Note a fault while it lasts."""
        end = [float('inf')]
        if not is_planned:
            self._unplanned.append((trio.current_time(), end))
        try:
            yield
        finally:
            end[0] = trio.current_time()

    async def replace_backend(self, place, how):
        """End a backend and start another in its place."""
        old = place.backend
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
            old.announce('draining')
        self.backends.remove(place)
        await self._add_backend(old.service, old.zone)
        await trio.sleep(DRAIN_LINGER_S)
        self.model.remove(old.key)
        old.stop()

    def reshard(self):
        """Name the other set of shards in a new version."""
        self._set = 1 - self._set
        self._configure()

    def _configure(self):
        self._version += self.rng.randint(1, 3)
        self.checks.sets.append(SHARD_SETS[self._set])
        common = {'host': caller.HOST, 'timeout_ms': 1500, 'attempts': 2}
        safe = {'kind': 'idempotent', **common}
        routes = [
            {
                'name': 'all',
                'prefix': '/all/',
                'goal_ms': 150,
                'fanout': SHARD_SETS[self._set],
                'top_k': checks.TOP,
                'min_share': checks.MIN_COVERAGE,
                **safe,
            },
            {
                'name': 'one',
                'prefix': '/one/',
                'goal_ms': 200,
                'service': 'one',
                **safe,
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
        names = [*itertools.chain(*SHARD_SETS), *SINGLE]
        services = [{'name': n, 'max_conns': 60} for n in names]
        document = {
            'version': self._version,
            'routes': routes,
            'services': services,
        }
        self.model.put('op/config', json.dumps(document).encode())

    async def _start_store(self):
        self._nursery.start_soon(self.store.run, self._store_address)
        await trio.sleep(0.05)

    @property
    def _store_address(self):
        return f'{self._net}.250', STORE_ADDRESS_PORT

    async def _start_backends(self):
        for service in SINGLE:
            for zone in ZONES:
                await self._add_backend(service, zone)
        # Each shard is missing in one zone, which needs delegates for it.
        for number, service in enumerate(itertools.chain(*SHARD_SETS)):
            for i in range(COPIES):
                zone = ZONES[(number + i % 2) % len(ZONES)]
                await self._add_backend(service, zone)

    async def _add_backend(self, service, zone):
        found = backends.Backend(
            f'{service}+{next(self._numbers)}',
            service,
            zone,
            self.model,
            self._nursery,
            self.checks.runs,
            random.Random(self.rng.random()),
        )
        await self._nursery.start(found.run)
        between = proxy.Proxy(found.address)
        await self._nursery.start(between.run)
        found.announced_address = between.address
        found.announce()
        self.backends.append(Place(found, between))

    async def _start_instances(self):
        ips = [f'{self._net}.{i + 1}' for i in range(self._n_instances)]
        for i, ip in enumerate(ips):
            between = proxy.Proxy(self._store_address)
            await self._nursery.start(between.run)
            found = process.Instance(
                f'entry-{i + 1}',
                ip,
                ZONES[i % len(ZONES)],
                ips[:3],
                between,
                self._folder,
            )
            self.instances.append(found)
            found.start()

    async def _wait_until_ready(self):
        with trio.fail_after(START_TIMEOUT_S):
            for found in self.instances:
                while not await self.is_ready(found):
                    await trio.sleep(0.1)

    async def is_ready(self, instance):
        """Tell whether an instance takes callers."""
        asked = client.Client(instance.address('ready'), self._nursery)
        try:
            reply = await asked.call(b'GET', b'/v1/readyz')
        except errors.ConnectionLostError:
            return False
        finally:
            asked.close()
        return reply.status == 200
