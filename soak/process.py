"""Runs an instance as a process."""

import os
import pathlib
import signal
import subprocess
import sys
import tomllib

import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
PORTS = {
    'front': 18080,
    'ready': 18081,
    'directory': 18082,
    'control': 18083,
}
INTERNAL_PORTS = (18090, 18099)
METRICS_PORT = 18100
GRACE_S = 6
SETTINGS = """
node = "{name}"
ip = "{ip}"
zone = "{zone}"
internal_ports = [{low}, {high}]
seeds = [{seeds}]
bootstrap = {bootstrap}
[listen]
{listen}
[bounds]
drain_ms = 3000
grace_s = {grace_s}
ttl_max_s = 5
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 200
[platform]
addr = "{store}"
"""


class Instance:
    """Starts, signals and ends one instance.

    :param ip: loopback address that only this instance uses.
    :param seeds: IP addresses of the instances to join by.
    :param store_proxy: Proxy to the store.
    :param folder: folder for the settings file and the log.
    """

    def __init__(self, name, ip, zone, seeds, store_proxy, folder):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store_proxy = store_proxy
        self.incarnation = 0
        self.is_stopping = False
        self._seeds = seeds
        self._folder = folder
        self._log_path = folder / f'{name}.log'
        self._log_path.touch()
        self._log_start = 0
        self._process = None

    @property
    def has_started(self):
        """Whether the process has logged that it has started."""
        with open(self._log_path, 'rb') as log:
            log.seek(self._log_start)
            return b'instance.started' in log.read()

    @property
    def is_running(self):
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def has_ended_by_itself(self):
        """Whether the process has ended though nothing has told it to."""
        return not self.is_running and not self.is_stopping

    def handles(self, signal_number):
        """Return whether a signal does not have its default action.

        :param signal_number: signal whose default action ends the process.
        """
        if not self.is_running:
            return False
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        masks = dict(line.split(':', 1) for line in status.splitlines())
        mask = int(masks['SigIgn'], 16) | int(masks['SigCgt'], 16)
        return bool(mask >> (signal_number - 1) & 1)

    def address(self, use):
        """Return the address of a listener.

        :param use: key of ``PORTS``.
        """
        return self.ip, PORTS[use]

    def start(self):
        """Start the process."""
        self.write_settings()
        self.incarnation += 1
        self.is_stopping = False
        self._log_start = self._log_path.stat().st_size
        log = open(self._log_path, 'ab')
        with log:
            self._process = subprocess.Popen(
                [sys.executable, *_read_words(), str(METRICS_PORT)],
                cwd=ROOT,
                env={
                    **os.environ,
                    'SAVORYCROSS_SETTINGS': str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def write_settings(self):
        """Write the settings file again."""
        host, port = self.store_proxy.address
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            grace_s=GRACE_S,
            low=INTERNAL_PORTS[0],
            high=INTERNAL_PORTS[1],
            seeds=', '.join(f'"{s}:{PORTS["control"]}"' for s in self._seeds),
            bootstrap='true' if not self.incarnation else 'false',
            listen='\n'.join(
                f'{use} = "{self.ip}:{port}"' for use, port in PORTS.items()
            ),
            store=f'{host}:{port}',
        )
        self._settings_path.write_text(text)

    def send(self, signal_number):
        """Send a signal."""
        if self.is_running:
            self._process.send_signal(signal_number)

    async def wait(self):
        """Wait for the process to exit and return its exit status."""
        while self._process.poll() is None:
            await trio.sleep(0.05)
        return self._process.returncode

    def kill(self):
        """Kill the process, also if it is suspended."""
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    @property
    def _settings_path(self):
        return self._folder / f'{self.name}.toml'


def _read_words():
    """Return the deploy file's words without the interpreter and the port."""
    with open(ROOT / 'deploy/system.toml', 'rb') as file:
        line = tomllib.load(file)['roles']['entry']['run']
    return line.split()[1:-1]
