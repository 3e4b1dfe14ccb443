"""Faults of real processes: kills, freezes, cut answers, outages."""

import functools
import signal

import pytest
import trio

from bench import callers as loads
from standins import deployment
from tests import deployments

CENTRES = deployments.CENTRES


@pytest.fixture
def made(tmp_path):
    """A running deployment of 4 instances."""
    sheet = tmp_path / 'sheet.csv'
    sheet.write_bytes(deployments.make_sheet())
    found = deployment.Deployment(
        sheet, CENTRES, tmp_path / 'logs', keep_s=1.0, warm=True
    )
    try:
        found.start_all()
        yield found
    finally:
        found.stop()


async def in_thread(call, *args):
    """Run a call that blocks, besides the callers."""
    return await trio.to_thread.run_sync(functools.partial(call, *args))


async def put_load(made, callers, during, seconds, rate=40, bookings=5):
    """Put queries and bookings on a deployment while ``during`` runs."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, nursery, 'find', rate, seconds)
        nursery.start_soon(
            callers.run, nursery, 'book', bookings, seconds, True
        )
        await trio.sleep(1.0)
        await during()


def summarise(callers):
    """Return counts of outcomes by kind and code, and the flaws."""
    codes = {}
    for outcome in callers.outcomes:
        key = (outcome.kind, outcome.code)
        codes[key] = codes.get(key, 0) + 1
    return codes, [o.flaw for o in callers.outcomes if o.flaw]


def check_bookings(made, callers):
    """Targets ran what callers were told, and nothing twice."""
    record = made.record()['targets'].values()
    ran = [b for t in record for b in t['bookings']]
    assert len(ran) == len(set(ran))
    told = callers.booked['ran']
    unknown = callers.booked['unknown_outcome']
    assert told <= len(ran) <= told + unknown


def check_cold(made):
    """No cold target had more than it could bear."""
    record = made.record()['targets']
    assert not {n: t['cold_over'] for n, t in record.items() if t['cold_over']}


async def test_rolling_restart_cuts_no_request(made):
    callers = loads.Callers(made.entries)

    async def restart_all():
        for number in range(4):
            await in_thread(made.signal, number, signal.SIGTERM)
            assert await in_thread(made.wait_for_exit, number) == 0
            made.start_instance(number)
            await in_thread(made.wait_ready, number)

    await put_load(made, callers, restart_all, seconds=32)
    codes, flaws = summarise(callers)
    assert not flaws
    assert set(codes) == {('query', ''), ('booking', '')}, codes
    for number in range(4):
        assert 'nothing cut' in made.log(made.name(number))
    check_bookings(made, callers)


async def test_damaged_answers_of_targets_reach_no_caller(made):
    callers = loads.Callers(made.entries)

    async def damage():
        await in_thread(
            functools.partial(
                made.control_targets,
                faults={'crossed': 0.05, 'cut': 0.05, 'drop': 0.05},
            )
        )
        await trio.sleep(4)

    await put_load(made, callers, damage, seconds=6)
    codes, flaws = summarise(callers)
    assert codes[('query', '')] > 100
    assert not flaws
    check_bookings(made, callers)


async def test_killed_and_frozen_instances_run_nothing_twice(made):
    callers = loads.Callers(made.entries)

    async def break_things():
        made.signal(0, signal.SIGKILL)
        made.control_targets(targets=['svc-1-north'], do=['restart'])
        await trio.sleep(3)
        made.signal(1, signal.SIGSTOP)
        made.control_targets(targets=['svc-2-north'], do=['restart'])
        await trio.sleep(4)
        made.signal(1, signal.SIGCONT)
        await trio.sleep(4)

    await put_load(made, callers, break_things, seconds=13)
    codes, flaws = summarise(callers)
    assert not flaws
    assert codes[('query', '')] > 300
    check_bookings(made, callers)
    check_cold(made)


async def test_store_outage_with_a_killed_instance(made):
    callers = loads.Callers(made.entries)

    async def break_things():
        made.control_platform(faults={'down': True})
        made.signal(2, signal.SIGKILL)
        made.control_targets(targets=['svc-1-middle'], do=['restart'])
        await trio.sleep(5)
        made.control_platform(faults={'down': False})
        await trio.sleep(3)

    await put_load(made, callers, break_things, seconds=9)
    codes, flaws = summarise(callers)
    assert not flaws
    assert codes[('query', '')] > 200
    check_bookings(made, callers)
    check_cold(made)
