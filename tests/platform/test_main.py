"""The process that the platform runs."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from soak import process as process_settings

# Sends the signal to its own process while it reads the settings, when the
# instance does not handle signals yet.
EARLY_SIGNAL = """
import os, signal, sys
from savorycross.platform import __main__ as main, settings
def read_settings(port):
    os.kill(os.getpid(), signal.SIGHUP)
    raise main.errors.SettingsError('survived')
settings.read_settings = read_settings
sys.exit(main.main(['9464']))
"""


def test_reload_signal_during_the_start_does_not_end_the_process():
    process = subprocess.run(
        [sys.executable, '-c', EARLY_SIGNAL], capture_output=True, text=True
    )
    assert process.returncode != -signal.SIGHUP
    assert 'survived' in process.stderr


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGINT'])
def test_stop_signal_during_the_start_ends_the_process_with_status_0(name):
    early = EARLY_SIGNAL.replace('SIGHUP', name)
    process = subprocess.run(
        [sys.executable, '-c', early], capture_output=True, text=True
    )
    assert process.returncode == 0, process.stderr


# Guards against a process that is killed as it never gets the stop signal.
def test_stop_signal_that_the_parent_blocks_ends_the_process():
    early = EARLY_SIGNAL.replace('SIGHUP', 'SIGTERM')
    blocked = 'import signal\nsignal.pthread_sigmask(0, {signal.SIGTERM})'
    process = subprocess.run(
        [sys.executable, '-c', blocked + early], capture_output=True, text=True
    )
    assert process.returncode == 0, process.stderr


@pytest.mark.parametrize('arguments', [[], ['x'], ['0'], ['1', '2']])
def test_wrong_arguments_are_reported(arguments):
    process = subprocess.run(
        [sys.executable, '-m', 'savorycross.platform', *arguments],
        capture_output=True,
        text=True,
    )
    assert process.returncode == 2
    assert 'usage' in process.stderr or 'port 0' in process.stderr


# Reads the settings twice: at first they are incomplete.
SETTINGS_IN_PROGRESS = """
import sys
from savorycross.gateway import instance
from savorycross.platform import __main__ as main, settings
reads = []
def read_settings(port):
    reads.append(port)
    if len(reads) < 3:
        raise main.errors.SettingsError('incomplete')
    return 'complete'
async def serve(instance_settings, adapter, read_settings):
    print(instance_settings)
settings.read_settings = read_settings
instance.serve = serve
sys.exit(main.main(['9464']))
"""


# Guards against a process that ended at its start as its settings were being
# written.
def test_settings_that_are_being_written_at_the_start_are_awaited():
    process = subprocess.run(
        [sys.executable, '-c', SETTINGS_IN_PROGRESS],
        capture_output=True,
        text=True,
    )
    assert process.returncode == 0, process.stderr
    assert process.stdout == 'complete\n'


# Guards against a process that ended at its start without standard output.
def test_process_without_standard_output_starts():
    process = subprocess.run(
        f"exec '{sys.executable}' -c \"$SCRIPT\" >&-",
        shell=True,
        capture_output=True,
        text=True,
        env={**os.environ, 'SCRIPT': SETTINGS_IN_PROGRESS},
    )
    assert process.returncode == 0, process.stderr


def test_missing_settings_are_reported():
    environment = dict(os.environ)
    environment.pop('SAVORYCROSS_SETTINGS', None)
    process = subprocess.run(
        [sys.executable, '-m', 'savorycross.platform', '9464'],
        capture_output=True,
        text=True,
        env=environment,
    )
    assert process.returncode == 2
    assert 'SAVORYCROSS_SETTINGS' in process.stderr


# Fails while the instance serves.
FAILING_INSTANCE = """
import sys
from savorycross.gateway import instance
from savorycross.platform import __main__ as main, settings
settings.read_settings = lambda port: 'complete'
async def serve(instance_settings, adapter, read_settings):
    raise {}
instance.serve = serve
sys.exit(main.main(['9464']))
"""


# Guards against processes that ended without a line that says why.
@pytest.mark.parametrize(
    'raised',
    [
        "RuntimeError('broken')",
        "BaseExceptionGroup('broken', [SystemError(), SystemExit(0)])",
        'KeyboardInterrupt',
        'MemoryError',
    ],
)
def test_process_that_an_exception_ends_logs_it(raised):
    process = subprocess.run(
        [sys.executable, '-c', FAILING_INSTANCE.format(raised)],
        capture_output=True,
        text=True,
    )
    assert process.returncode != 0
    line = json.loads(process.stdout)
    assert line['event'] == 'instance.failed'
    assert raised.partition('(')[0] in line['error']
    assert 'in serve' in line['trace']


def test_process_that_its_settings_end_logs_it(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text('node = 1')
    process = subprocess.run(
        [sys.executable, '-m', 'savorycross.platform', '9464'],
        capture_output=True,
        text=True,
        env={**os.environ, 'SAVORYCROSS_SETTINGS': str(path)},
    )
    assert process.returncode == 2
    line = json.loads(process.stdout)
    assert line['event'] == 'instance.failed'
    assert str(path) in line['error']


# Fails to read the settings, in a way that nobody expects, once it serves.
FAILING_RELOAD = """
import sys
from savorycross.platform import __main__ as main, settings
read_settings = settings.read_settings
reads = []
def read_once(port):
    reads.append(port)
    if len(reads) > 1:
        raise RuntimeError('broken')
    return read_settings(port)
settings.read_settings = read_once
sys.exit(main.main(['18100']))
"""


# Guards against an instance that ends, or no longer stops when it is told to.
def test_reload_that_fails_does_not_end_the_instance_or_its_stop(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text(
        process_settings.SETTINGS.format(
            name='entry-1',
            ip='127.9.37.1',
            zone='north',
            low=18090,
            high=18099,
            seeds='',
            bootstrap='true',
            grace_s=process_settings.GRACE_S,
            memory_mb=process_settings.MEMORY_MB,
            listen='front = "127.9.37.1:18080"\n'
            'ready = "127.9.37.1:18081"\n'
            'directory = "127.9.37.1:18082"\n',
            store='127.9.37.1:18001',
        )
    )
    environment = {**os.environ, 'SAVORYCROSS_SETTINGS': str(path)}
    with subprocess.Popen(
        [sys.executable, '-c', FAILING_RELOAD],
        stdout=subprocess.PIPE,
        env=environment,
        text=True,
    ) as process:
        seen = []
        for line in process.stdout:
            event = json.loads(line)['event']
            seen.append(event)
            if event == 'instance.started':
                # The handlers are set in the same step of the event loop.
                time.sleep(0.5)
                process.send_signal(signal.SIGHUP)
            elif event == 'internal.error' and seen.count(event) == 1:
                process.send_signal(signal.SIGTERM)
    assert process.returncode == 0
    assert seen[-1] == 'instance.stopped'
