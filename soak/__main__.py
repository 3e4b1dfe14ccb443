"""The fault soak: ``python -m soak --seed 1 --runs 10``."""

import pathlib
import sys
import time

import fire
import trio

from soak import world


def soak(seed=0, runs=1, seconds=20, instances=4, callers=8, only=''):
    """Play runs with seeds that follow each other; exit 1 on a violation.

    :param seed: first seed; 0 takes one from the time of day.
    :param seconds: how long faults come in each run.
    :param only: names of faults, separated by commas; all if empty.
    """
    if isinstance(only, tuple):
        only = ','.join(only)
    first = seed or int(time.time())
    failed = 0
    for found in range(first, first + runs):
        violations, line = trio.run(
            _play, found, seconds, instances, callers, only
        )
        print(f'seed {found}: {line}', flush=True)
        for at, rule, text in violations[:20]:
            print(f'  {at} {rule}: {text}', flush=True)
        failed += bool(violations)
    print(f'{runs - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


async def _play(seed, seconds, instances, callers, only):
    folder = pathlib.Path('/tmp/savorycross-soak') / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob('*.log'):
        log.unlink()
    async with trio.open_nursery() as nursery:
        found = world.World(seed, folder, nursery, instances, callers)
        violations = await found.run(seconds, only)
        nursery.cancel_scope.cancel()
    outcomes = found.checks.outcomes
    served = sum(o.status == 200 for o in outcomes)
    line = f'{len(outcomes)} calls, {served} served, logs in {folder}'
    return violations, line


if __name__ == '__main__':
    fire.Fire(soak)
