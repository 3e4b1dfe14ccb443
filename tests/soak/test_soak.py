"""A short run of the fault soak."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def test_short_seeded_run_keeps_all_promises():
    found = subprocess.run(
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
    assert found.returncode == 0, found.stdout + found.stderr
    assert '1 passed, 0 failed' in found.stdout
