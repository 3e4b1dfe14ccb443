"""All open connections to the store go silent; a change follows."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'testbed-2'))

import testbed as testbeds  # noqa: E402

RECORD = HERE / 'record.txt'
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

DEADLINE_MS = 800
ASKED_PER_S = 20.0
# Pauses between the first change, the silence and the second change.
SILENCE_AFTER_S = 1.0
CHANGE_AFTER_S = 0.8


def configure(testbed, version, service):
    """Write a version whose only route leads to a service."""
    route = {
        'name': 'r-one',
        'host': 'a.example',
        'prefix': '/one/',
        'kind': 'non_idempotent',
        'timeout_ms': DEADLINE_MS,
        'goal_ms': 300,
        'priority': 1,
        'service': service,
        'attempts': 2,
    }
    names = [{'name': n} for n in ('first', 'second', 'third')]
    testbed.configure(version, [route], names)


async def ask_all(testbed, until, sent):
    """Ask each instance at a steady rate."""
    tasks = []
    number = 0
    while time.monotonic() < until:
        number += 1
        for instance in testbed.instances:
            id_ = f'{instance.name}.{number}'
            sent[id_] = time.monotonic()
            tasks.append(
                asyncio.ensure_future(
                    testbed.ask(
                        instance.front,
                        'POST',
                        f'/one/{number}',
                        id_,
                        DEADLINE_MS,
                    )
                )
            )
        await asyncio.sleep(1 / ASKED_PER_S)
    await asyncio.gather(*tasks)


async def play(testbed):
    configure(testbed, 1, 'first')
    for service in ('first', 'second', 'third'):
        for n, zone in enumerate(testbeds.ZONES[1:]):
            await testbed.add_backend(f'{service}-{n}', service, zone)
    await testbed.start_instances()
    await asyncio.sleep(6.0 + random.uniform(0.0, 1.0))
    sent = {}
    load = asyncio.ensure_future(
        ask_all(testbed, time.monotonic() + 15.0, sent)
    )
    await asyncio.sleep(1.0)
    configure(testbed, 2, 'second')
    await asyncio.sleep(SILENCE_AFTER_S)
    silent_at = time.monotonic()
    if testbed.has_trouble:
        testbed.store.silence_connections()
    await asyncio.sleep(CHANGE_AFTER_S)
    configure(testbed, 3, 'third')
    acknowledged_at = time.monotonic()
    await load
    bounds = testbed.bounds
    due_at = max(
        acknowledged_at + bounds['apply_ms'] / 1000,
        silent_at + bounds['contact_ms'] / 1000,
    )
    stale = [
        (round(sent[id_] - acknowledged_at, 2), id_, b.id)
        for b in testbed.backends
        if b.service != 'third'
        for _, id_ in b.arrivals
        if sent[id_] > due_at
    ]
    testbed.record('stale', len(stale), sorted(stale)[-5:])
    if not stale:
        return []
    return [
        f'CONFIG: {len(stale)} requests ran at the old service, the last '
        f'one sent {max(stale)[0]} s after the acknowledgement'
    ]


if __name__ == '__main__':
    testbeds.play(play, RECORD, HAS_TROUBLE)
