"""The fault soak: ``python -m soak --seed 1 --runs 10``."""

import pathlib
import sys
import time

import fire
import trio

from soak import testbed


def soak(seed=0, runs=1, seconds=20, instances=4, callers=8, only=''):
    """Make runs with consecutive seeds; exit with 1 on a violation.

    :param seed: first seed; 0 derives it from the time of day.
    :param runs: number of runs.
    :param seconds: duration of the faults of each run.
    :param instances: number of instances.
    :param callers: number of callers.
    :param only: names of faults, separated by commas; all if empty.
    """
    if isinstance(only, tuple):
        only = ','.join(only)
    first_seed = seed or int(time.time())
    failed = 0
    for run_seed in range(first_seed, first_seed + runs):
        violations, summary = trio.run(
            _run_once, run_seed, seconds, instances, callers, only
        )
        print(f'seed {run_seed}: {summary}', flush=True)
        for at, rule, text in violations[:20]:
            print(f'  {at} {rule}: {text}', flush=True)
        failed += bool(violations)
    print(f'{runs - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


async def _run_once(seed, seconds, instances, callers, only):
    folder = pathlib.Path('/tmp/savorycross-soak') / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob('*.log'):
        log.unlink()
    async with trio.open_nursery() as nursery:
        soak_run = testbed.Testbed(seed, folder, nursery, instances, callers)
        violations = await soak_run.run(seconds, only)
        nursery.cancel_scope.cancel()
    outcomes = soak_run.checks.outcomes
    served = sum(o.status == 200 for o in outcomes)
    summary = f'{len(outcomes)} calls, {served} served, logs in {folder}'
    return violations, summary


if __name__ == '__main__':
    fire.Fire(soak)
