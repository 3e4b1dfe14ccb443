"""Tests of the gateway with and without a configuration."""

import pytest

from savorycross.gateway import gateway
from savorycross.route import configuration
from savorycross.wire import messages
from savorycross.wire import server
from tests.forward import fake_engine
from tests import recording_log


def make(*services, is_outdated=False):
    """Return a Gateway with one route to all services, and its engine."""
    engine = fake_engine.FakeEngine()
    result = gateway.Gateway(
        engine, read_age_ms=lambda: 2500, is_outdated=lambda: is_outdated
    )
    route = fake_engine.make_route(services)
    result.adopt(
        configuration.make_configuration(1, [route], {}, server.Limits())
    )
    return result, engine


def test_gateway_lacks_targets_until_a_configuration_is_known():
    assert gateway.Gateway(fake_engine.FakeEngine()).lacks_targets()


def test_gateway_lacks_targets_while_many_services_have_none():
    names = [f's{n}' for n in range(20)]
    current, engine = make(*names)
    for name in names[:17]:
        engine.add_target(name, name)
    assert current.lacks_targets()
    engine.add_target('draining', 's17', is_draining=True)
    assert current.lacks_targets()
    engine.add_target('last', 's17')
    assert not current.lacks_targets()


def test_refusal_without_a_route_tells_the_version_in_force():
    current, engine = make('s0')
    engine.log = recording_log.RecordingLog()
    headers = ((b'Host', b'other.example'), (b'Request-Id', b'1'))
    current.handle(messages.Request(b'GET', b'/x', headers), lambda reply: 0)
    (fields,) = engine.log.fields('request.refused')
    assert (fields['status'], fields['version']) == (404, 1)
    assert fields['age_ms'] == 2500


# Guards against callers that are told for good that a route does not exist,
# by an instance that missed the configuration with it.
@pytest.mark.parametrize('is_outdated', [False, True])
def test_outdated_instance_tells_nobody_that_a_route_does_not_exist(
    is_outdated,
):
    current, engine = make('s0', is_outdated=is_outdated)
    (reply,) = _handle(current, engine, host=b'other.example')
    assert reply.status == (503 if is_outdated else 404)
    assert bool(reply.header(b'retry-after')) == is_outdated
    assert not engine.sends


def test_outdated_instance_forwards_by_the_routes_that_it_knows():
    current, engine = make('s0', is_outdated=True)
    engine.add_target('s0', 's0')
    assert not _handle(current, engine)
    assert engine.sends


def _handle(current, engine, host=b'h'):
    """Handle a request now; return the replies that it gets."""
    replies = []
    headers = (
        (b'Host', host),
        (b'Request-Id', fake_engine.ID),
        (b'Deadline-Ms', b'1000'),
    )
    request = messages.Request(
        b'GET', b'/p/x', headers, b'', True, engine.time
    )
    current.handle(request, replies.append)
    return replies


# Guards against requests that were forwarded shortly before the end of a stop
# and cut by it.
@pytest.mark.parametrize('services', [('s0',), ('s0', 's1')])
def test_request_that_would_outlast_the_instance_is_refused(services):
    current, engine = make(*services)
    for name in services:
        engine.add_target(name, name)
    objective_s = current.configuration.routes[0].objective_s
    current.plan_end(engine.time + objective_s - 0.001, engine.time)
    (reply,) = _handle(current, engine)
    assert reply.status == 503
    assert 0.0 < float(reply.header(b'retry-after')) < 0.1
    assert not engine.sends


def test_request_that_ends_before_the_instance_is_forwarded():
    current, engine = make('s0')
    engine.add_target('a', 's0')
    objective_s = current.configuration.routes[0].objective_s
    current.plan_end(engine.time + objective_s + 0.01, engine.time)
    assert not _handle(current, engine)
    (exchange,) = engine.sends
    assert b'Deadline-Ms: 210\r\n' in exchange.data
    engine.advance(objective_s + 0.02)
    assert exchange.state.pool.sent == [exchange]


def test_request_is_answered_as_timed_out_when_the_instance_ends():
    current, engine = make('s0')
    engine.add_target('a', 's0')
    current.plan_end(engine.time + 0.3, engine.time)
    replies = _handle(current, engine)
    engine.advance(0.31)
    assert [r.status for r in replies] == [504]


def test_known_latency_tells_which_requests_outlast_the_instance():
    current, engine = make('s0')
    engine.add_target('a', 's0')
    (route,) = current.configuration.routes
    latency = engine.route_latency(route)
    for _ in range(50):
        latency.add(0.01, engine.time)
    current.plan_end(engine.time + 0.05, engine.time)
    assert not _handle(current, engine)
    for _ in range(50):
        latency.add(0.1, engine.time)
    (reply,) = _handle(current, engine)
    assert reply.status == 503


# Guards against failure replies that a late event loop sends after the caller
# has given up.
def test_failure_reply_is_sent_earlier_by_as_much_as_the_loop_runs_late():
    engine = fake_engine.FakeEngine()
    lag_s = [0.0]
    current = gateway.Gateway(engine, lambda: lag_s[0])
    route = fake_engine.make_route(('s0',))
    current.adopt(
        configuration.make_configuration(1, [route], {}, server.Limits())
    )
    engine.add_target('a', 's0')
    ends = []
    for lag_s[0] in (0.0, 0.1, 9.0):
        started_at = engine.time
        replies = _handle(current, engine)
        while not replies:
            engine.advance(0.01)
        ends.append(engine.time - started_at)
    assert ends == pytest.approx([1.0, 0.9, 0.75], abs=0.021)
