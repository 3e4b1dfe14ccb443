"""A backend becomes cold again while the platform's store is away."""

import asyncio
import collections
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'testbed-2'))

import testbed as testbeds  # noqa: E402

RATE_PER_S = 80.0
SETTLE_S = 6.0
WARMUP_PER_S = 4.0
OUTAGE_S = 4.5
COLD_S = 3.0
DEADLINE_MS = 2000


async def send_requests(testbed, until):
    """Send requests at a steady rate through the listed instances."""
    number = 0
    tasks = []
    listed = []
    next_look = 0.0
    while time.monotonic() < until:
        if time.monotonic() >= next_look:
            next_look = time.monotonic() + 2.0
            for instance in testbed.instances:
                listed = await testbed.resolve(instance) or listed
        number += 1
        tasks.append(
            asyncio.ensure_future(
                testbed.ask(
                    random.choice(listed),
                    'GET',
                    f'/one/{number}',
                    f'r{number}',
                    DEADLINE_MS,
                )
            )
        )
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    await asyncio.gather(*tasks)


async def play(testbed):
    service = {
        'name': 'one',
        'warmup_s': COLD_S,
        'warmup_per_s': WARMUP_PER_S,
    }
    route = {
        'name': 'r-one',
        'host': 'a.example',
        'prefix': '/one/',
        'kind': 'idempotent',
        'timeout_ms': DEADLINE_MS,
        'goal_ms': 500,
        'priority': 1,
        'service': 'one',
        'attempts': 2,
    }
    testbed.configure(1, [route], [service])
    for n, zone in enumerate(testbeds.ZONES[1:]):
        await testbed.add_backend(f'i-{n}', 'one', zone)
    await testbed.start_instances()
    # Backends that start are cold for a while.
    await asyncio.sleep(SETTLE_S)
    began_at = time.monotonic()
    load = asyncio.ensure_future(send_requests(testbed, began_at + 16.0))
    await asyncio.sleep(5.0)
    cold = testbed.backends[0]
    if testbed.has_trouble:
        testbed.store.set_mode('silent')
        await asyncio.sleep(0.5)
        cold.cold_until = time.monotonic() + COLD_S
        testbed.record('cold', cold.id, cold.cold_ms, 'ms')
        await asyncio.sleep(OUTAGE_S - 0.5)
        testbed.store.set_mode('ok')
    await load
    if not testbed.has_trouble:
        return []
    cold_from, cold_to = cold.cold_until - COLD_S, cold.cold_until
    bounds = testbed.bounds
    limit = WARMUP_PER_S * bounds['cold_overage'] + bounds['cold_slack']
    window = collections.deque()
    worst = 0
    for at, _ in cold.arrivals:
        if not cold_from <= at <= cold_to:
            continue
        window.append(at)
        while window[0] <= at - 1.0:
            window.popleft()
        worst = max(worst, len(window))
    testbed.record('most requests in one second', worst, 'limit', limit)
    if worst <= limit:
        return []
    return [f'FAILBACK: {worst} requests in one second, {limit} allowed']


if __name__ == '__main__':
    testbeds.play(__file__, play)
