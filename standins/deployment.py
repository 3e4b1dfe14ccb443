"""Starts the stand-ins and instances of a deployment as processes.

The demo, the benchmarks and the end-to-end tests use it. It ends only the
processes that it has started.
"""

import contextlib
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports of a deployment.

    :param http: port of the first instance; the others use the next ones.
    :param peer: the same for the connections between instances.
    """

    platform: int = 20300
    control: int = 20301
    http: int = 20001
    peer: int = 20101


class Deployment:
    """Processes of one deployment.

    :param sheet: path of the sheet.
    :param centres: names of data centres, assigned to the instances in turn.
    :param folder: folder for the log of each process.
    :param instances: number of instances.
    :param ports: Ports.
    :param keep_s: seconds of the setting ``keep_s`` of the instances.
    :param median_ms: median service time of a warm target in milliseconds.
    :param warm: whether the targets start with warm caches.
    :param host: loopback address of all processes but the targets, whose
        addresses stand in the sheet.
    """

    def __init__(
        self,
        sheet,
        centres,
        folder,
        instances=4,
        ports=None,
        keep_s=1.0,
        median_ms=4.0,
        warm=False,
        host='127.0.0.1',
    ):
        self.ports = ports or Ports()
        self.host = host
        self.processes = {}
        self.entries = [
            f'{host}:{self.ports.http + i}' for i in range(instances)
        ]
        self.sheet = pathlib.Path(sheet)
        self._centres = centres
        self._folder = pathlib.Path(folder)
        self._keep_s = keep_s
        self._median_ms = median_ms
        self._warm = warm

    @property
    def platform_address(self):
        """Host and port of the platform as text."""
        return f'{self.host}:{self.ports.platform}'

    def start_standins(self):
        """Start the platform and the targets."""
        self._folder.mkdir(parents=True, exist_ok=True)
        listed = [
            {
                'name': self.name(i),
                'host': self.host,
                'http_port': self.ports.http + i,
                'peer_port': self.ports.peer + i,
            }
            for i in range(len(self.entries))
        ]
        self._start(
            'platform',
            'standins.platform',
            f'--host={self.host}',
            f'--port={self.ports.platform}',
            f'--instances={json.dumps(json.dumps(listed))}',
        )
        self._start(
            'targets',
            'standins.targets',
            f'--sheet={self.sheet}',
            f'--host={self.host}',
            f'--control-port={self.ports.control}',
            f'--median-ms={self._median_ms}',
            f'--warm={self._warm}',
        )

    def start_instance(self, number):
        """Start an instance.

        :param number: number of the instance, from 0.
        """
        self._start(
            self.name(number),
            'savorycross',
            'serve',
            f'--name={self.name(number)}',
            f'--data_centre={self._centres[number % len(self._centres)]}',
            f'--host={self.host}',
            f'--http_port={self.ports.http + number}',
            f'--peer_port={self.ports.peer + number}',
            f'--platform={self.platform_address}',
            f'--keep_s={self._keep_s}',
        )

    def start_all(self):
        """Start all processes, apply the sheet and wait for the instances."""
        self.start_standins()
        self.wait_for_platform()
        for number in range(len(self.entries)):
            self.start_instance(number)
        self.apply()
        for number in range(len(self.entries)):
            self.wait_ready(number)

    def name(self, number):
        """Return the name of an instance."""
        return f'entry-{number + 1}'

    def apply(self, *flags):
        """Apply the sheet by the command line.

        :param flags: further flags of the command.
        """
        return self.run_command(
            'sheet',
            'apply',
            str(self.sheet),
            f'--platform={self.platform_address}',
            *flags,
        )

    def run_command(self, *arguments):
        """Run a command of savorycross and return its CompletedProcess."""
        command = [sys.executable, '-m', 'savorycross', *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60
        )

    def wait_for_platform(self):
        """Wait until the platform answers."""
        self._wait_for_url(f'http://{self.platform_address}/v1/instances')

    def wait_ready(self, number):
        """Wait until an instance is ready."""
        self._wait_for_url(f'http://{self.entries[number]}/readyz')

    def control_targets(self, **body):
        """Send a control request to the targets."""
        url = f'http://{self.host}:{self.ports.control}/control'
        return fetch_json(url, body)

    def control_platform(self, **body):
        """Send a control request to the platform."""
        url = f'http://{self.platform_address}/control'
        return fetch_json(url, body)

    def record(self):
        """Return the records of the targets."""
        return fetch_json(f'http://{self.host}:{self.ports.control}/record')

    def status(self, number):
        """Return the status of an instance."""
        return fetch_json(f'http://{self.entries[number]}/v1/status')

    def signal(self, number, signal_number):
        """Send a signal to an instance."""
        self.processes[self.name(number)].send_signal(signal_number)

    def wait_for_exit(self, number, timeout=60):
        """Wait for an instance to exit and return its exit status.

        :param timeout: limit in seconds.
        """
        return self.processes[self.name(number)].wait(timeout)

    def stop(self):
        """End all processes that are still running."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT_S)

    def log(self, name):
        """Return the log of a process."""
        return (self._folder / f'{name}.log').read_text()

    def _start(self, name, module, *arguments):
        log = open(self._folder / f'{name}.log', 'a')
        with log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def _wait_for_url(self, url):
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return urllib.request.urlopen(url, timeout=2).read()
            except (urllib.error.URLError, OSError) as exc:
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{url}: {exc}') from exc
            time.sleep(_POLL_INTERVAL_S)


def fetch_json(url, body=None):
    """Return the JSON answer to a GET, or to a POST if there is a body.

    :param body: JSON values to post.
    """
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=10) as response:
        return json.loads(response.read())
