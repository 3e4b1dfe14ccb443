"""Starts a small deployment of the project's own programs on loopback."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import backend as backends
import http_wire
import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ('sapporo', 'sapporo', 'asahikawa', 'hakodate')
PORTS = {'front': 8226, 'ready': 8227, 'directory': 8225, 'control': 8224}
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 4000,
    'ack_ms': 5000,
    'catchup_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'apply_ms': 3000,
    'downgrade_ms': 250,
    'skew_ms': 12000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'cold_overage': 1.5,
    'cold_slack': 5,
    'evac_ms': 5000,
    'recover_s': 12,
    'ttl_max_s': 5,
}
START_TIMEOUT_S = 20.0
LAST_RUN_S = 115.0


class CannotRunError(Exception):
    """The case could not be played."""


class Instance:
    """One process, started with the command of the deploy file."""

    def __init__(self, testbed, number, zone):
        self.name = f'front-{zone}-{number + 1}'
        self.zone = zone
        self.ip = f'{testbed.network}.{number + 1}'
        self.process = None
        self._testbed = testbed
        self._starts = 0

    @property
    def front(self):
        """Address for clients."""
        return self.ip, PORTS['front']

    def start(self):
        """Start the process with a settings file of its own."""
        testbed = self._testbed
        path = testbed.folder / f'{self.name}.toml'
        path.write_text(self._make_settings())
        with open(ROOT / 'deploy/system.toml', 'rb') as file:
            words = tomllib.load(file)['roles']['entry']['run'].split()
        self._starts += 1
        env = {k: os.environ[k] for k in ('PATH', 'HOME') if k in os.environ}
        env['SAVORYCROSS_SETTINGS'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(testbed.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        testbed.record('start', self.name)

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        self._testbed.record('signal', self.name, signal.Signals(number).name)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            reply = await self._testbed.call(
                (self.ip, PORTS['ready']), 'GET', '/v1/readyz', timeout_s=1.0
            )
        except (http_wire.WireError, OSError, TimeoutError):
            return False
        return reply.start[1] == '200'

    def _make_settings(self):
        testbed = self._testbed
        seeds = [f'{i.ip}:{PORTS["control"]}' for i in testbed.instances[:3]]
        host, port = testbed.store.address
        tables = {
            'zones': {z: 'hokkaido' for z in ZONES},
            'listen': {k: f'{self.ip}:{p}' for k, p in PORTS.items()},
            'limits': {
                'cpu_share': 0.817,
                'cores': 2,
                'memory_mb': 430,
                'max_fds': 6150,
                'link_mbps': 1500.0,
                'disk_mb': 0,
            },
            'tolerate': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': testbed.bounds,
            'platform': {
                'addr': f'{host}:{port}',
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }
        lines = [
            f'node = "{self.name}"',
            'role = "entry"',
            'class = "front"',
            'serves = ["front","control","directory"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "hokkaido"',
            'internal_ports = [7740,7755]',
            f'seeds = {json.dumps(seeds)}',
            f'bootstrap = {json.dumps(not self._starts)}',
            'counts_as_loss = false',
            'discovery = "platform"',
            'entry = "directory"',
            'beat_ms = 1200',
        ]
        for name, table in tables.items():
            lines.append(f'[{name}]')
            lines += [f'{k} = {json.dumps(v)}' for k, v in table.items()]
        return '\n'.join(lines) + '\n'


class Testbed:
    """A store, backends and instances, and what was seen of them.

    :param record_path: file in which it is recorded what was seen.
    :param has_trouble: whether the disruption of the case is to happen.
    """

    def __init__(self, record_path, has_trouble, bounds=(), instances=4):
        self.has_trouble = has_trouble
        self.bounds = {**BOUNDS, **dict(bounds)}
        self.network = _find_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.backends = []
        self.instances = [
            Instance(self, n, ZONES[n]) for n in range(instances)
        ]
        self._record_file = open(record_path, 'w')
        self._began_at = time.monotonic()
        self.store = stores.Store(self.record)

    @property
    def now_s(self):
        """Seconds since the start."""
        return time.monotonic() - self._began_at

    def record(self, *words):
        """Write a line into the record."""
        text = ' '.join(str(w) for w in words)
        self._record_file.write(f'{self.now_s:9.3f} {text}\n')

    def configure(self, version, routes, services, tenants=()):
        """Write a configuration, as the operator does."""
        document = {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'health_path': '/healthz',
                    'max_conns': 110,
                    'proto': 'h1',
                    'tls': False,
                    'warmup_s': 3.0,
                    'warmup_per_s': 0.0,
                    **s,
                }
                for s in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_ms': 3000,
                'idle_ms': 15000,
            },
        }
        if tenants:
            document['tenants'] = list(tenants)
        self.store.put('op/config', json.dumps(document).encode())
        self.record('configuration', version, 'acknowledged')

    async def add_backend(self, id_, service, zone, **fields):
        """Start a Backend and return it."""
        new = backends.Backend(
            id_, service, zone, self.store, self.record, **fields
        )
        self.backends.append(new)
        await new.start(f'{self.network}.100')
        return new

    async def start_instances(self):
        """Start all instances and wait until they are ready."""
        for instance in self.instances:
            instance.start()
        end_at = time.monotonic() + START_TIMEOUT_S
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > end_at:
                    raise CannotRunError(f'{instance.name} is not ready')
                await asyncio.sleep(0.1)

    async def resolve(self, instance):
        """Return the addresses that an instance's directory lists."""
        reply = await self.call(
            (instance.ip, PORTS['directory']),
            'GET',
            f'/v1/resolve?name=a.example&region=hokkaido&zone={instance.zone}',
            timeout_s=1.0,
        )
        if reply.start[1] != '200':
            return []
        listed = json.loads(reply.body)['addrs']
        return [
            (a.rpartition(':')[0], int(a.rpartition(':')[2])) for a in listed
        ]

    async def call(
        self, address, method, path, headers=(), body=b'', timeout_s=2.0
    ):
        """Send a request on a new connection and return the reply."""
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(_encode_request(method, path, headers, body))
                reply = await http_wire.read_message(reader, True)
                if reply is None:
                    raise http_wire.WireError('closed without a reply')
                return reply
            finally:
                writer.transport.abort()

    async def ask(self, address, method, path, id_, deadline_ms, headers=()):
        """Send a client's request, record it and return the Message or None.

        :returns: None if no whole answer came.
        """
        name = _find_name(self.instances, address)
        self.record('sent', id_, name, method, path)
        all_headers = [
            ('Host', 'a.example'),
            ('Request-Id', id_),
            ('Deadline-Ms', deadline_ms),
            *headers,
        ]
        try:
            reply = await self.call(
                address,
                method,
                path,
                all_headers,
                timeout_s=deadline_ms / 1000,
            )
        except (http_wire.WireError, OSError, TimeoutError) as exc:
            self.record('ended', id_, type(exc).__name__, exc)
            return None
        self.record('answered', id_, reply.start[1])
        return reply

    def stop(self):
        """End all processes and remove the temporary folder."""
        for instance in self.instances:
            instance.end()
        self._record_file.close()
        if os.environ.get('KEEP'):
            print(self.folder, file=sys.stderr)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def play(make_coroutine, record_path, has_trouble, **fields):
    """Play a case and exit with 0, 1 or 2.

    :param make_coroutine: callable that takes the Testbed and returns a
        coroutine, whose result is the list of violations as text.
    :param record_path: see ``Testbed``.
    :param has_trouble: see ``Testbed``.
    """

    async def run():
        testbed = Testbed(record_path, has_trouble, **fields)
        try:
            async with asyncio.timeout(LAST_RUN_S):
                await testbed.store.start(f'{testbed.network}.99')
                violations = await make_coroutine(testbed)
            for text in violations:
                testbed.record('VIOLATION', text)
                print(text)
            testbed.record('result', 'broken' if violations else 'held')
            return 1 if violations else 0
        except Exception as exc:
            testbed.record('result', 'could not run', repr(exc))
            print(f'could not run: {exc!r}')
            return 2
        finally:
            testbed.stop()

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)


def _encode_request(method, path, headers, body):
    has_body = bool(body) or method == 'POST'
    return http_wire.encode(
        f'{method} {path} HTTP/1.1', headers, body, has_body
    )


def _find_name(instances, address):
    for instance in instances:
        if instance.ip == address[0]:
            return instance.name
    return address[0]


def _find_network():
    """Return a loopback network in which the ports are free."""
    rng = random.SystemRandom()
    for _ in range(50):
        network = f'127.{rng.randint(10, 209)}.{rng.randint(0, 249)}'
        try:
            with socket.socket() as sock:
                sock.bind((f'{network}.1', PORTS['front']))
            return network
        except OSError:
            continue
    raise CannotRunError('no free network')
