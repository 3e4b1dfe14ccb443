import json

import pytest

from savorycross.entry import app as apps
from savorycross.entry import request
from tests import deployments


class Caller:
    """Calls an App as an HTTP server does."""

    def __init__(self, instance):
        self.app = apps.App(instance)

    async def call(self, method, path, body=b''):
        """Return the status, headers and body of an answer."""
        sent = []
        path, _, query = path.partition('?')
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'query_string': query.encode(),
            'headers': [],
            'client': ('127.0.0.1', 1),
        }

        async def receive():
            return {'type': 'http.request', 'body': body}

        async def send(message):
            sent.append(message)

        await self.app(scope, receive, send)
        content = sent[1]['body']
        return sent[0]['status'], dict(sent[0]['headers']), content

    async def post(self, path, body):
        """Return the status and decoded JSON of the answer to a POST."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        status, _, content = await self.call('POST', path, data)
        return status, json.loads(content)


@pytest.fixture
async def deployment():
    async with deployments.open_deployment() as fabric:
        yield fabric


@pytest.fixture
async def caller(deployment):
    return Caller(deployment.instances['entry-1'])


@pytest.mark.parametrize(
    'body, code',
    [
        (b'', 'bad_request'),
        (b'{', 'bad_request'),
        (b'[]', 'bad_request'),
        (b'\xff\xfe', 'bad_request'),
        ({}, 'bad_request'),
        ({'workload': 7}, 'bad_request'),
        ({'workload': 'find', 'colour': 1}, 'bad_request'),
        ({'workload': 'find', 'deadline_ms': -5}, 'bad_request'),
        ({'workload': 'find', 'deadline_ms': 10**9}, 'bad_request'),
        ({'workload': 'find', 'deadline_ms': 0.5}, 'bad_request'),
        ({'workload': 'find', 'min_coverage': 2}, 'bad_request'),
        ({'workload': 'find', 'limit': -1}, 'bad_request'),
        ({'workload': 'nothing'}, 'unknown_workload'),
        ({'workload': 'book'}, 'unknown_workload'),
        (b' ' * (request.MAX_BODY_BYTES + 1), 'body_too_large'),
    ],
)
async def test_bad_query_is_refused_with_a_code(
    paused_clock, caller, body, code
):
    status, answer = await caller.post('/v1/query', body)
    assert answer['code'] == code
    assert answer['outcome'] == 'not_run'
    assert 400 <= status < 500
    status, _ = await caller.post('/v1/query', {'workload': 'find'})
    assert status == 200


@pytest.mark.parametrize(
    'body, code',
    [
        ({'workload': 'book'}, 'bad_request'),
        ({'workload': 'book', 'ticket': 'x'}, 'ticket_invalid'),
        ({'workload': 'book', 'key': 'k' * 1000}, 'bad_request'),
        ({'workload': 'find', 'key': 'k'}, 'unknown_workload'),
    ],
)
async def test_bad_booking_is_refused_with_a_code(
    paused_clock, caller, deployment, body, code
):
    _, answer = await caller.post('/v1/bookings', body)
    assert answer['code'] == code
    assert deployments.bookings_run(deployment) == []


async def test_forged_ticket_is_refused(paused_clock, caller, deployment):
    _, issued = await caller.post('/v1/tickets', b'')
    forged = issued['ticket'][:-1] + 'g'
    body = {'workload': 'book', 'ticket': forged}
    _, answer = await caller.post('/v1/bookings', body)
    assert answer['code'] == 'ticket_invalid'
    assert deployments.bookings_run(deployment) == []


async def test_headers_contain_coverage_and_snapshot(paused_clock, caller):
    body = json.dumps({'workload': 'find'}).encode()
    status, headers, _ = await caller.call('POST', '/v1/query', body)
    assert status == 200
    assert headers[b'x-coverage'] == b'6/6'
    assert headers[b'x-snapshot'] == b'idx@1.1'


async def test_coverage_below_the_callers_minimum_is_refused(
    paused_clock, caller, deployment
):
    for name, target_model in deployment.targets.items():
        target_model.faults.frozen = name.startswith('svc-1')
    body = {'workload': 'find', 'min_coverage': 0.9}
    status, answer = await caller.post('/v1/query', body)
    assert (status, answer['code']) == (503, 'coverage_too_low')
    assert answer['coverage']['answered'] == 3
    assert len(answer['coverage']['missed']) == 3


async def test_unknown_path_is_refused(paused_clock, caller):
    status, _, content = await caller.call('GET', '/v2/query')
    assert (status, json.loads(content)['code']) == (404, 'not_found')


async def test_instance_without_configuration_is_not_ready(paused_clock):
    async with deployments.open_deployment(settle_s=0.0) as fabric:
        await deployments.wait_until(lambda: 'entry-1' in fabric.instances)
        caller = Caller(fabric.instances['entry-1'])
        status, _, content = await caller.call('GET', '/readyz')
        assert status == 503
        assert json.loads(content)['code'] == 'not_ready'


async def test_status_says_why_a_target_gets_no_work(
    paused_clock, caller, deployment
):
    deployment.targets['svc-1-north'].draining = True
    extra = [{'kind': 'state', 'name': 'south', 'state': 'out'}]
    sheet = deployments.make_sheet(extra=extra)
    await deployments.apply_sheet(deployment, sheet)
    reason_by_target = {}

    def is_reported():
        for instance in deployment.instances.values():
            for target in apps.status.make_status(instance).targets:
                reason_by_target[target.name] = target.why
        return 'draining' in reason_by_target.get('svc-1-north', '')

    await deployments.wait_until(is_reported)
    assert reason_by_target['svc-1-south'] == 'declared or listed as out'
    assert (
        reason_by_target['svc-1-middle'] == ''
        or 'cold' in reason_by_target['svc-1-middle']
    )


async def test_metrics_are_rendered(paused_clock, caller):
    await caller.post('/v1/query', {'workload': 'find'})
    status, _, content = await caller.call('GET', '/metrics')
    assert status == 200
    assert b'savorycross_query_seconds{quantile="0.99"' in content


async def test_events_of_a_request_come_from_all_instances(
    paused_clock, caller, deployment
):
    _, answer = await caller.post('/v1/query', {'workload': 'find'})
    kinds = []
    for instance in deployment.instances.values():
        path = f'/v1/events?subject={answer["request_id"]}'
        _, _, content = await Caller(instance).call('GET', path)
        kinds += [e['kind'] for e in json.loads(content)]
    assert 'query.accepted' in kinds
    assert 'part.answered' in kinds
