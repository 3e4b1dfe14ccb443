"""Measures processor time per sub-request of processes on loopback."""

import functools
import json
import os
import pathlib
import tempfile
import time

import httpcore
import trio

from bench import callers as loads
from examples import make_sheets
from savorycross.events import clock
from savorycross.relay import job as jobs
from savorycross.sheet import check
from savorycross.target import client
from standins import deployment
from standins import target_model
from standins import targets as target_servers

WARM_UP_S = 4.0
TARGET_PORT = 24500
_TICKS = os.sysconf('SC_CLK_TCK')


def cpu_seconds(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS


def main(rate=20, seconds=15, workload='fitter-finder', instances=1):
    """Measure instances that serve queries, and the target client alone.

    :param rate: queries per second.
    :param seconds: duration of the measured load.
    :param workload: name of the workload.
    :param instances: number of instances.
    """
    with tempfile.TemporaryDirectory() as folder:
        result = measure_queries(folder, workload, rate, seconds, instances)
    print(json.dumps(result))
    for name in ('kept-connection', 'httpcore'):
        print(json.dumps(measure_client(name)))


def measure_queries(folder, workload, rate, seconds, instances):
    """Return the processor time per sub-request, measured on whole queries."""
    sheet = pathlib.Path(folder) / 'sheet.csv'
    make_sheets.make_kitaguchi().write(sheet)
    measured_deployment = deployment.Deployment(
        sheet, make_sheets.HOKKAIDO, folder, instances, warm=True, median_ms=2
    )
    try:
        measured_deployment.start_all()
        trio.run(_load, measured_deployment, workload, rate, WARM_UP_S)
        before = _usage(measured_deployment, instances)
        outcomes = trio.run(
            _load, measured_deployment, workload, rate, seconds
        )
        after = _usage(measured_deployment, instances)
    finally:
        measured_deployment.stop()
    sends = after[1] - before[1]
    answered = [o for o in outcomes if not o.code]
    return {
        'workload': workload,
        'instances': instances,
        'queries': len(outcomes),
        'full': sum(o.coverage == 1 for o in answered),
        'p50_ms': round(
            sorted(o.took_s for o in answered)[len(answered) // 2] * 1000, 1
        ),
        'sub_requests': sends,
        'us_per_sub_request': round((after[0] - before[0]) / sends * 1e6, 1),
        'sub_requests_per_core_s': round(sends / (after[0] - before[0])),
    }


def _usage(measured_deployment, instances):
    """Return (processor seconds, sends) of all instances."""
    cpu_s = sum(
        cpu_seconds(
            measured_deployment.processes[measured_deployment.name(i)].pid
        )
        for i in range(instances)
    )
    statuses = [measured_deployment.status(i) for i in range(instances)]
    return cpu_s, sum(s['first_sends'] + s['extra_sends'] for s in statuses)


async def _load(measured_deployment, workload, rate, seconds):
    callers = loads.Callers(measured_deployment.entries)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, nursery, workload, rate, seconds)
    await callers.aclose()
    return callers.outcomes


def measure_client(name, requests=2000, at_once=4):
    """Return the processor time per request of one client of a target.

    :param name: 'kept-connection' or 'httpcore'.
    :param requests: number of requests.
    :param at_once: number of concurrent requests.
    """
    cpu_s = trio.run(_run_client, name, requests, at_once)
    return {
        'wire': name,
        'requests': requests,
        'at_once': at_once,
        'us_per_request_both_sides': round(cpu_s / requests * 1e6, 1),
    }


async def _run_client(name, requests, at_once):
    """Call a stand-in target in the same process, so that both sides count."""
    sheet = make_sheets.SheetWriter(('x',), TARGET_PORT)
    sheet.add_index('one', 1, at_once * 2, 50)
    catalogue = check.check(make_sheets.to_bytes(sheet.rows))
    target = catalogue.targets[0]
    timing = target_model.Timing(median_s=0.0001, sigma=0.0)
    model = target_servers.make_models(catalogue, timing)[target.name]
    model.warm_up()
    server = target_servers.TargetServer(model, target.host, target.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        await trio.sleep(0.1)
        call = (
            _call_by_target_client
            if name == 'kept-connection'
            else _call_by_httpcore
        )
        started_at = time.process_time()
        await call(nursery, target, requests, at_once)
        cpu_s = time.process_time() - started_at
        nursery.cancel_scope.cancel()
    return cpu_s


def _job(number, deadline):
    return jobs.Job(
        number, 1, 'r', 'one-01', 'one-01/0', 0, 1, 1, 0, deadline, b'null'
    )


async def _call_by_target_client(nursery, target, requests, at_once):
    """Call through the HttpTargetClient of the instances."""
    send, receive = trio.open_memory_channel(requests)
    target_client = client.HttpTargetClient(
        'bench',
        clock.HybridClock(time.time),
        nursery,
        lambda attempt_id, result: send.send_nowait(result),
        lambda inventory, sent_at: None,
        lambda name, boot: None,
        lambda name: None,
        lambda name: 0.0,
    )
    target_client.reconcile([target])
    deadline = trio.current_time() + 60
    for number in range(requests + at_once):
        if number >= at_once:
            result = await receive.receive()
            assert result.status is jobs.Status.OK
        if number < requests:
            job = _job(number, deadline)
            await target_client.send(
                jobs.Send(number, target.name, job, ends_at=deadline)
            )


async def _call_by_httpcore(nursery, target, requests, at_once):
    """Call through one httpcore connection per task."""
    async with trio.open_nursery() as task_nursery:
        for _ in range(at_once):
            task_nursery.start_soon(
                functools.partial(
                    _run_httpcore_task, target, requests // at_once
                )
            )


async def _run_httpcore_task(target, requests):
    origin = httpcore.Origin(b'http', target.host.encode(), target.port)
    body = json.dumps(
        {
            'request_id': 'r',
            'attempt': 'a',
            'service': 'one-01',
            'shard': 0,
            'deadline_ms': 60000,
            'version': 1,
            'epoch': 1,
        }
    ).encode()
    async with httpcore.AsyncHTTPConnection(origin) as connection:
        for _ in range(requests):
            reply = await connection.request(
                'POST',
                f'http://{target.host}:{target.port}/v1/search',
                headers=[('Host', 'target'), ('X-Attempt', 'a')],
                content=body,
            )
            assert reply.status == 200
