"""Tests of the gateway with and without a configuration."""

from savorycross.gateway import gateway
from savorycross.route import configuration
from savorycross.wire import server
from tests.forward import fake_engine


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
