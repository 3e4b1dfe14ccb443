"""Tests of the gateway with and without a configuration."""

from savorycross.gateway import gateway
from savorycross.route import configuration
from savorycross.wire import messages
from savorycross.wire import server
from tests.forward import fake_engine
from tests import recording_log


def make(*services):
    """Return a Gateway with one route to all services, and its engine."""
    engine = fake_engine.FakeEngine()
    result = gateway.Gateway(engine)
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
