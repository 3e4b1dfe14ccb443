"""Requests by the configuration in force."""

from savorycross.gateway import gateway
from savorycross.route import configuration
from savorycross.wire import server
from tests.forward import fake_engine


def make(*services):
    """Return a gateway whose only route asks services, and its engine."""
    engine = fake_engine.FakeEngine()
    found = gateway.Gateway(engine)
    route = fake_engine.make_route(services)
    found.adopt(
        configuration.make_configuration(1, [route], {}, server.Limits())
    )
    return found, engine


def test_gateway_lacks_all_until_a_configuration_is_known():
    assert gateway.Gateway(fake_engine.FakeEngine()).lacks_targets()


def test_gateway_lacks_targets_while_many_services_have_none():
    names = [f's{n}' for n in range(20)]
    found, engine = make(*names)
    for name in names[:17]:
        engine.add_target(name, name)
    assert found.lacks_targets()
    engine.add_target('draining', 's17', is_draining=True)
    assert found.lacks_targets()
    engine.add_target('last', 's17')
    assert not found.lacks_targets()
