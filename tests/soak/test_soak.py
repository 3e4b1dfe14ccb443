"""Tests a short soak run with faults."""

import pathlib
import subprocess
import sys

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
