"""Tests a short soak run with faults."""

import pathlib
import signal
import subprocess
import sys

from soak import testbed

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def test_short_seeded_run_violates_no_invariant():
    completed = subprocess.run(
        [
            sys.executable,
            '-m',
            'soak',
            '--seed=7',
            '--seconds=8',
            '--instances=3',
            '--callers=4',
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert '1 passed, 0 failed' in completed.stdout


# Guards against ends of processes that no fault asked for and none noticed.
async def test_process_that_ends_by_itself_is_a_violation(nursery, tmp_path):
    soak_testbed = testbed.Testbed(7002, tmp_path, nursery, n_instances=1)
    try:
        await soak_testbed.start()
        (instance,) = soak_testbed.instances
        soak_testbed.checks.check_processes()
        assert not soak_testbed.checks.violations
        instance.send(signal.SIGKILL)
        await instance.wait()
        soak_testbed.checks.check_processes()
        ((_, rule, text),) = soak_testbed.checks.violations
        assert (rule, text) == ('ended', 'entry-1: -9, after its start')
        assert instance.is_running
        instance.kill()
        soak_testbed.checks.check_processes()
        assert len(soak_testbed.checks.violations) == 1
    finally:
        soak_testbed.stop()


async def test_errors_in_logs_and_large_memory_are_violations(
    nursery, tmp_path
):
    soak_testbed = testbed.Testbed(7003, tmp_path, nursery, n_instances=1)
    try:
        await soak_testbed.start()
        soak_testbed.checks.check_health()
        assert not soak_testbed.checks.violations
        with open(tmp_path / 'entry-1.log', 'a') as log:
            log.write('{"event": "internal.error"}\n')
        soak_testbed.checks.max_memory_mb = 1
        soak_testbed.checks.check_health()
    finally:
        soak_testbed.stop()
    rules = [rule for _, rule, _ in soak_testbed.checks.violations]
    assert rules == ['error', 'memory']
