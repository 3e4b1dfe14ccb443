"""Instances as processes, started with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from standin import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0
HOST = 'h.example'
SETTINGS = """
node = "front-bilbo-{number}"
role = "entry"
class = "front"
serves = ["front", "control", "directory"]
ip = "{ip}"
zone = "bilbo"
region = "norte"
internal_ports = [7740, 7755]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
beat_ms = 1200
[zones]
bilbo = "norte"
[listen]
front = "{ip}:8226"
ready = "{ip}:8227"
control = "{ip}:8224"
directory = "{ip}:8225"
[limits]
cpu_share = 0.817
cores = 2
memory_mb = 430
max_fds = 6150
link_mbps = 1500.0
disk_mb = 0
[bounds]
addr_reuse_s = 2
contact_ms = 4000
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
apply_ms = 3000
downgrade_ms = 250
skew_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
cold_overage = 1.5
cold_slack = 5
evac_ms = 5000
recover_s = 12
ttl_max_s = 5
[platform]
addr = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case cannot run on this machine."""


class Record:
    """Writes lines with their time to a file."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._started_at = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f'{seconds:9.4f} {text}\n')
        self._file.flush()


class Instance:
    """One process of the system, on a loopback address of its own.

    :param ip: loopback address.
    :param seeds: loopback addresses of instances to join by.
    :param folder: folder of the settings file and the log.
    """

    def __init__(self, number, ip, seeds, store_address, folder):
        self.ip = ip
        self.process = None
        self._number = number
        self._settings = folder / f'settings-{number}.toml'
        self._log = folder / f'log-{number}.txt'
        self._settings.write_text(
            SETTINGS.format(
                number=number,
                ip=ip,
                seeds=', '.join(f'"{seed}:8224"' for seed in seeds),
                store=store_address,
            )
        )

    def start(self):
        """Start the process."""
        with open(ROOT / 'deploy/system.toml', 'rb') as file:
            command = tomllib.load(file)['roles']['entry']['run'].split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'SAVORYCROSS_SETTINGS': str(self._settings),
        }
        with open(self._log, 'ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    @property
    def memory_mb(self):
        """Resident memory of the process, 0 if it has ended."""
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0
        rows = [line.split() for line in lines if line.startswith('VmRSS')]
        return int(rows[0][1]) // 1024 if rows else 0

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process.poll() is None

    async def wait_until_ready(self):
        """Wait until the instance reports that it is ready."""
        end_at = time.monotonic() + START_TIMEOUT_S
        data = wire.encode('GET /v1/readyz HTTP/1.1', {'Host': self.ip})
        while time.monotonic() < end_at and self.is_running:
            reply = await wire.call(self.ip, 8227, data, 1.0)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(
            f'instance {self._number} is not ready: '
            + self._log.read_text()[-2000:]
        )

    def end(self):
        """Kill the process, if it still runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


@contextlib.contextmanager
def start(count, store_address):
    """Start instances for as long as the context lasts."""
    if not (ROOT / 'target/deps').is_dir():
        raise CannotRunError('run the build line of the deploy file first')
    ips = choose_addresses(count)
    with tempfile.TemporaryDirectory() as folder:
        instances = [
            Instance(n + 1, ip, ips[:3], store_address, pathlib.Path(folder))
            for n, ip in enumerate(ips)
        ]
        try:
            for instance in instances:
                instance.start()
            yield instances
        finally:
            for instance in instances:
                instance.end()


def choose_addresses(count):
    """Return loopback addresses whose ports are free."""
    for _ in range(50):
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        ips = [f'{net}.{n + 1}' for n in range(count)]
        if all(_is_free(ip) for ip in ips):
            return ips
    raise CannotRunError('no free loopback addresses')


def _is_free(ip):
    for port in (8224, 8225, 8226, 8227, 9464, 7740, 7755):
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def make_configuration(version, routes, services):
    """Return a configuration as the operator writes it.

    :param routes: dictionaries with the fields that matter to the case.
    :param services: likewise.
    """
    return {
        'version': version,
        'routes': [
            {
                'host': HOST,
                'kind': 'idempotent',
                'timeout_ms': 8000,
                'goal_ms': 800,
                'priority': 2,
                'attempts': 2,
                **route,
            }
            for route in routes
        ],
        'services': [
            {
                'health_path': '/healthz',
                'max_conns': 110,
                'proto': 'h1',
                'tls': False,
                'warmup_s': 3.0,
                'warmup_per_s': 0.0,
                **service,
            }
            for service in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_ms': 3000,
            'idle_ms': 15000,
        },
    }
