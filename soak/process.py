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
# Memory of the machine that the settings tell.
MEMORY_MB = 430
METRICS_PORT = 18100
GRACE_S = 6
# Parts of log lines that report an error in the program.
ERROR_WORDS = ('internal.error', 'Traceback')
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
strict_revoke = true
revoke_ms = 5000
quota_window_s = 5
quota_overage = 0.1
quota_slack = 5
[limits]
memory_mb = {memory_mb}
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
        self.memory_mb = MEMORY_MB
        self._seeds = seeds
        self._folder = folder
        self._log_path = folder / f'{name}.log'
        self._log_path.touch()
        self._log_start = 0
        self._process = None
        self._is_end_expected = True
        self._runs_program = False

    @property
    def has_started(self):
        """Whether the process has logged that it has started."""
        with open(self._log_path, 'rb') as log:
            log.seek(self._log_start)
            return b'instance.started' in log.read()

    @property
    def unexpected_status(self):
        """Exit status of a process that ended though nothing asked it to."""
        if self._is_end_expected:
            return None
        return self._process.poll()

    @property
    def peak_memory_mb(self):
        """Largest resident memory of the running process."""
        status = self._read_status()
        return int(status.get('VmHWM', '0').split()[0]) / 1000

    @property
    def runs_program(self):
        """Whether the program, not only its interpreter, has begun.

        Until then the default actions of signals are in force.
        """
        if not self._runs_program:
            status = self._read_status()
            mask = int(status.get('SigIgn', '0'), 16)
            mask |= int(status.get('SigCgt', '0'), 16)
            self._runs_program = bool(mask >> (signal.SIGHUP - 1) & 1)
        return self._runs_program

    def read_errors(self):
        """Return the lines of the log that report an error in the program."""
        return [
            line
            for line in self._log_path.read_text().splitlines()
            if any(word in line for word in ERROR_WORDS)
        ]

    @property
    def is_running(self):
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

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
        self._is_end_expected = False
        self._runs_program = False
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

    def write_settings(self, how='same'):
        """Write the settings file again.

        :param how: 'same', 'changed', 'half' (the first half only) or
            'renamed' (another file takes its place).
        """
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
            memory_mb=self.memory_mb,
            store=f'{host}:{port}',
        )
        if how == 'changed':
            text = text.replace('retry_slack = 200', 'retry_slack = 150')
        if how == 'half':
            text = text[: len(text) // 2]
        if how != 'renamed':
            self._settings_path.write_text(text)
            return
        other_path = self._settings_path.with_suffix('.new')
        other_path.write_text(text)
        other_path.replace(self._settings_path)

    def send(self, signal_number):
        """Send a signal."""
        if self.is_running:
            if signal_number == signal.SIGTERM:
                self._is_end_expected = True
            self._process.send_signal(signal_number)

    async def wait(self):
        """Wait for the process to exit and return its exit status."""
        while self._process.poll() is None:
            await trio.sleep(0.05)
        return self._process.returncode

    def kill(self):
        """Kill the process, also if it is suspended."""
        if self.is_running:
            self._is_end_expected = True
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def _read_status(self):
        """Return the fields of the process in ``/proc``."""
        path = pathlib.Path('/proc', str(self._process.pid), 'status')
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return {}
        return dict(line.split(':', 1) for line in lines)

    @property
    def _settings_path(self):
        return self._folder / f'{self.name}.toml'


def _read_words():
    """Return the deploy file's words without the interpreter and the port."""
    with open(ROOT / 'deploy/system.toml', 'rb') as file:
        line = tomllib.load(file)['roles']['entry']['run']
    return line.split()[1:-1]
