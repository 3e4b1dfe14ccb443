"""Roll-outs by instances as real processes, with the stand-in of the store."""

import itertools
import json

import pytest
import trio

from tests.processes import test_platform

two_instances = test_platform.two_instances
RATE_PER_S = 60.0
OVER_S = 14.0


async def _send_requests(two_instances):
    """Send requests until cancelled."""
    async with trio.open_nursery() as nursery:
        for number in itertools.count():
            nursery.start_soon(_send, two_instances, number)
            await trio.sleep(1 / RATE_PER_S)


async def _send(two_instances, number):
    await two_instances.call(b'/one/x', b'r-%d' % number, instance=number % 2)


# Guards against parts that work on their own but are not connected: entries,
# orders, datagrams between processes, and writes to the store.
@pytest.mark.parametrize(
    ('fail_share', 'expected'), [(0.0, 'complete'), (0.4, 'reverted')]
)
async def test_roll_out_ends_as_the_new_version_deserves(
    two_instances, nursery, fail_share, expected
):
    bed = two_instances.testbed
    new = two_instances.backends('one')[::2]
    for backend in new:
        backend.version = 'v2'
        backend.fail_share = fail_share
        backend.announce()
    new_ids = {backend.id for backend in new}
    order = {'service': 'one', 'to_version': 'v2', 'over_s': OVER_S}
    bed.model.put('op/rollout/one', json.dumps(order).encode())
    nursery.start_soon(_send_requests, two_instances)
    await trio.sleep(OVER_S)
    status = json.loads(bed.model.items['status/rollout/one'].value)
    assert status == {'to_version': 'v2', 'state': expected}
    runs = bed.checks.runs
    if expected == 'reverted':
        exposed = sum(run.backend in new_ids for run in runs)
        assert exposed <= 0.1 * len(runs) + 50
    runs.clear()
    await trio.sleep(1.0)
    used = {run.backend in new_ids for run in runs if run.service == 'one'}
    assert used == {expected == 'complete'}
