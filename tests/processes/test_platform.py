"""Instances on the platform's protocol as real processes."""

import functools
import signal

import pytest
import trio

from savorycross.events import request_trace
from savorycross.wire import client
from soak import process
from soak import world

SEED = 7001


class Site:
    """A small world of the soak, without its faults and callers."""

    def __init__(self, found, folder, nursery):
        self.world = found
        self.folder = folder
        self.nursery = nursery

    async def call(self, path, id_, method=b'GET', instance=0, timeout_s=5.0):
        """Return the Reply of an instance."""
        address = self.world.instances[instance].address('front')
        headers = (
            (b'Host', b'h.example'),
            (b'Request-Id', id_),
            (b'Deadline-Ms', b'1500'),
        )
        caller = client.Client(address, self.nursery)
        return await caller.call(method, path, b'', timeout_s, headers)

    async def metrics(self, instance=0):
        """Return the metrics of an instance as text."""
        ip = self.world.instances[instance].ip
        caller = client.Client((ip, process.METRICS_PORT), self.nursery)
        reply = await caller.call(b'GET', b'/metrics')
        return reply.body.decode()

    def request_trace(self, id_):
        """Return the RequestTrace of a request out of all logs."""
        lines = []
        for path in self.folder.glob('*.log'):
            lines += path.read_text().splitlines()
        return request_trace.assemble(id_, lines)

    def backends(self, service):
        """Return the backends of a service."""
        return [
            p.backend
            for p in self.world.backends
            if p.backend.service == service
        ]


@pytest.fixture
async def site(nursery, tmp_path):
    found = world.World(SEED, tmp_path, nursery, n_instances=2)
    try:
        await found.start()
        await trio.sleep(1.0)
        yield Site(found, tmp_path, nursery)
    finally:
        found.stop()


async def test_each_failed_request_is_explained_by_logs_and_metrics(site):
    assert (await site.call(b'/one/x', b'good')).status == 200
    for found in site.backends('one'):
        found.lose_share = 1.0
    assert (await site.call(b'/one/x', b'slow')).status == 504
    (line,) = [
        x
        for x in site.request_trace('slow').lines
        if x.event == 'request.timeout'
    ]
    assert line.fields['service'] == 'one'
    for found in site.backends('once'):
        found.work_s = 0.5
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            functools.partial(site.call, b'/once/x', b'lost', method=b'POST')
        )
        await trio.sleep(0.2)
        for found in site.backends('once'):
            found.stop()
    events = [x.event for x in site.request_trace('lost').lines]
    assert events[-2:] == ['send.failed', 'request.lost']
    for found in site.backends('one'):
        site.world.model.remove(found.key)
    await trio.sleep(1.0)
    reply = await site.call(b'/one/x', b'refused')
    assert reply.status == 503
    assert float(reply.header(b'retry-after')) > 0
    (line,) = [
        x
        for x in site.request_trace('refused').lines
        if x.event == 'request.refused'
    ]
    assert line.fields['reason'] == 'no usable target'
    text = await site.metrics()
    for outcome in ('timeout', 'lost', 'refused', 'answered'):
        assert f'outcome="{outcome}",shape="one"}} 1\n' in text


async def test_gather_names_its_parts(site):
    reply = await site.call(b'/all/x', b'id-1')
    assert reply.status == 200
    site.world.checks.check_gather('id-1', reply)
    assert not site.world.checks.violations


async def test_configuration_is_in_force_on_all_instances_soon(site):
    site.world.reshard()
    await trio.sleep(2.0)
    for i in range(2):
        reply = await site.call(b'/all/x', b'id-%d' % i, instance=i)
        assert reply.header(b'parts').count(b'b') == 6


async def test_far_parts_come_through_a_delegate_or_directly(site):
    site.world.reshard()
    await trio.sleep(2.0)
    for id_ in (b'id-1', b'id-2'):
        reply = await site.call(b'/all/x', id_)
        assert reply.header(b'missing-parts') == b'0'
        site.world.checks.check_gather(id_.decode(), reply)
        if id_ == b'id-1':
            text = await site.metrics(1)
            assert 'savorycross_delegated_sends 2\n' in text
            site.world.instances[1].send(signal.SIGSTOP)
    await trio.sleep(0.3)
    site.world.instances[1].send(signal.SIGCONT)
    assert not site.world.checks.violations
    events = [x.event for x in site.request_trace('id-2').lines]
    assert 'delegate.failed' in events


async def test_instance_that_starts_without_the_store_asks_its_peers(site):
    site.world.store.is_busy = True
    second = site.world.instances[1]
    second.kill()
    second.start()
    with trio.fail_after(20):
        while not await site.world.is_ready(second):
            await trio.sleep(0.1)
    assert (await site.call(b'/one/x', b'id-1', instance=1)).status == 200


async def test_stop_finishes_what_is_in_progress(site):
    for found in site.backends('one'):
        found.work_s = 1.0
    replies = []

    async def ask():
        replies.append(await site.call(b'/one/x', b'id-1'))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        site.world.instances[0].send(signal.SIGTERM)
    assert replies[0].status == 200
    assert replies[0].header(b'connection') == b'close'
    with trio.fail_after(8):
        assert await site.world.instances[0].wait() == 0
