"""Faults of real processes: kills, freezes, truncated replies, outages."""

import functools
import signal

import pytest
import trio

from bench import callers as bench_callers
from standins import deployment
from standins import loopback
from tests import deployments

DATA_CENTRES = deployments.DATA_CENTRES


@pytest.fixture
def running_deployment(tmp_path):
    """Yield a running deployment of 4 instances."""
    sheet = tmp_path / 'sheet.csv'
    host = loopback.find_host()
    sheet.write_bytes(deployments.make_sheet(host=host))
    new_deployment = deployment.Deployment(
        sheet,
        DATA_CENTRES,
        tmp_path / 'logs',
        keep_s=1.0,
        warm=True,
        host=host,
    )
    try:
        new_deployment.start_all()
        yield new_deployment
    finally:
        new_deployment.stop()


async def run_in_thread(call, *args):
    """Run a blocking call in a thread, so that the callers go on."""
    return await trio.to_thread.run_sync(functools.partial(call, *args))


async def send_load(
    running_deployment,
    callers,
    inject_faults,
    duration_s,
    query_rate=40,
    booking_rate=5,
):
    """Send queries and bookings while an async function runs.

    :param inject_faults: async function without arguments, called after 1 s.
    :param duration_s: duration of the load, in seconds.
    :param query_rate: queries per second.
    :param booking_rate: bookings per second.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            callers.run, nursery, 'find', query_rate, duration_s
        )
        nursery.start_soon(
            callers.run, nursery, 'book', booking_rate, duration_s, True
        )
        await trio.sleep(1.0)
        await inject_faults()


def count_outcomes(callers):
    """Return outcome counts by kind and code, and the list of flaws."""
    counts = {}
    for outcome in callers.outcomes:
        key = (outcome.kind, outcome.code)
        counts[key] = counts.get(key, 0) + 1
    return counts, [o.flaw for o in callers.outcomes if o.flaw]


def assert_bookings_match(running_deployment, callers):
    """Assert that targets ran what callers were told, and nothing twice."""
    record = running_deployment.record()['targets'].values()
    ran = [b for t in record for b in t['bookings']]
    assert len(ran) == len(set(ran))
    confirmed = callers.booked['ran']
    unknown = callers.booked['unknown_outcome']
    assert confirmed <= len(ran) <= confirmed + unknown


def assert_cold_limits_hold(running_deployment):
    """Assert that no cold target exceeded its limit."""
    record = running_deployment.record()['targets']
    assert not {n: t['cold_over'] for n, t in record.items() if t['cold_over']}


async def test_rolling_restart_interrupts_no_request(running_deployment):
    callers = bench_callers.Callers(running_deployment.entries)

    async def restart_all():
        for number in range(4):
            await run_in_thread(
                running_deployment.signal, number, signal.SIGTERM
            )
            assert (
                await run_in_thread(running_deployment.wait_for_exit, number)
                == 0
            )
            running_deployment.start_instance(number)
            await run_in_thread(running_deployment.wait_ready, number)

    await send_load(running_deployment, callers, restart_all, duration_s=32)
    counts, flaws = count_outcomes(callers)
    assert not flaws
    assert set(counts) == {('query', ''), ('booking', '')}, counts
    for number in range(4):
        assert 'nothing cut' in running_deployment.log(
            running_deployment.name(number)
        )
    assert_bookings_match(running_deployment, callers)


async def test_damaged_replies_of_targets_reach_no_caller(running_deployment):
    callers = bench_callers.Callers(running_deployment.entries)

    async def damage_replies():
        await run_in_thread(
            functools.partial(
                running_deployment.control_targets,
                faults={'crossed': 0.05, 'cut': 0.05, 'drop': 0.05},
            )
        )
        await trio.sleep(4)

    await send_load(running_deployment, callers, damage_replies, duration_s=6)
    counts, flaws = count_outcomes(callers)
    assert counts[('query', '')] > 100
    assert not flaws
    assert_bookings_match(running_deployment, callers)


async def test_killed_and_frozen_instances_run_nothing_twice(
    running_deployment,
):
    callers = bench_callers.Callers(running_deployment.entries)

    async def inject_faults():
        running_deployment.signal(0, signal.SIGKILL)
        running_deployment.control_targets(
            targets=['svc-1-north'], do=['restart']
        )
        await trio.sleep(3)
        running_deployment.signal(1, signal.SIGSTOP)
        running_deployment.control_targets(
            targets=['svc-2-north'], do=['restart']
        )
        await trio.sleep(4)
        running_deployment.signal(1, signal.SIGCONT)
        await trio.sleep(4)

    await send_load(running_deployment, callers, inject_faults, duration_s=13)
    counts, flaws = count_outcomes(callers)
    assert not flaws
    assert counts[('query', '')] > 300
    assert_bookings_match(running_deployment, callers)
    assert_cold_limits_hold(running_deployment)


async def test_store_outage_with_a_killed_instance(running_deployment):
    callers = bench_callers.Callers(running_deployment.entries)

    async def inject_faults():
        running_deployment.control_platform(faults={'down': True})
        running_deployment.signal(2, signal.SIGKILL)
        running_deployment.control_targets(
            targets=['svc-1-middle'], do=['restart']
        )
        await trio.sleep(5)
        running_deployment.control_platform(faults={'down': False})
        await trio.sleep(3)

    await send_load(running_deployment, callers, inject_faults, duration_s=9)
    counts, flaws = count_outcomes(callers)
    assert not flaws
    assert counts[('query', '')] > 200
    assert_bookings_match(running_deployment, callers)
    assert_cold_limits_hold(running_deployment)


async def test_stated_rates_hold_while_owners_are_killed_and_frozen(
    running_deployment,
):
    callers = bench_callers.Callers(running_deployment.entries)

    async def inject_faults():
        running_deployment.control_targets(rate_per_s=9.0)
        await trio.sleep(4)
        running_deployment.signal(0, signal.SIGKILL)
        await trio.sleep(2)
        running_deployment.signal(1, signal.SIGSTOP)
        await trio.sleep(3)
        running_deployment.signal(1, signal.SIGCONT)
        await trio.sleep(3)

    await send_load(running_deployment, callers, inject_faults, duration_s=13)
    _, flaws = count_outcomes(callers)
    assert not flaws
    assert_bookings_match(running_deployment, callers)
    record = running_deployment.record()['targets']
    ratios = {n: t['worst_rate_ratio'] for n, t in record.items()}
    assert 0.0 < max(ratios.values()) <= 1.0, ratios
