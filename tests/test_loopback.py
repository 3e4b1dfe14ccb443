"""Loopback networks of runs beside each other."""

import subprocess
import sys

from standins import loopback

HOLD = (
    'from standins import loopback; '
    'print(loopback.hold_network(), flush=True); '
    'input()'
)


# Guards against two runs of the tests whose servers meet.
def test_network_is_of_one_process_as_long_as_it_runs():
    own = f'{loopback.hold_network()}.{loopback.LOCK_HOST}'
    assert not loopback._hold(own)
    command = [sys.executable, '-c', HOLD]
    pipes = {'stdin': subprocess.PIPE, 'stdout': subprocess.PIPE}
    with subprocess.Popen(command, text=True, **pipes) as other:
        held = other.stdout.readline().strip()
        assert not loopback._hold(f'{held}.{loopback.LOCK_HOST}')
        other.communicate('\n')
    assert loopback._hold(f'{held}.{loopback.LOCK_HOST}')
