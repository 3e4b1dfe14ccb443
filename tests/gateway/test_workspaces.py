"""Tests of requests with keys, and of what is forwarded of them."""

import pytest

from savorycross.delegate import protocol
from savorycross.gateway import gateway
from savorycross.route import configuration
from savorycross.route import route as routes
from savorycross.wire import messages
from savorycross.wire import server
from savorycross.workspace import directory
from savorycross.workspace import freshness
from savorycross.workspace import key_check
from savorycross.workspace import workspace
from tests.delegate import fakes
from tests.forward import fake_engine
from tests import recording_log

KEY = b'sesame-7'
LATER = workspace.Workspace('later', priority=2)


class World:
    """A gateway with one route, and the workspace ``later``.

    :param has_workspaces: whether the configuration has workspaces.
    :param services: services of the route, which all answer.
    :param fields: fields of the route.
    """

    def __init__(self, has_workspaces=True, services=('s',), **fields):
        self.batches = []
        self.engine = fake_engine.FakeEngine(
            others=fake_engine.make_delegates(
                fakes.make_peer('b'), make_pool=self._make_pool
            )
        )
        self.engine.log = recording_log.RecordingLog()
        self.gateway = gateway.Gateway(self.engine)
        self.route = fake_engine.make_route(services, **fields)
        self.adopt([(LATER, [KEY.decode()])] if has_workspaces else [])

    def _make_pool(self, address):
        return fake_engine.FakePool(address, self.batches)

    def adopt(self, workspaces):
        """Put a configuration with workspaces and their keys in force."""
        self.gateway.adopt(
            configuration.make_configuration(
                self.gateway.version + 1,
                [self.route],
                {},
                server.Limits(),
                directory.WorkspaceDirectory(workspaces),
            )
        )

    def request(self, *headers, path=b'/p/x'):
        """Handle a request; return the statuses of its replies."""
        required = ((b'Host', b'h'), (b'Request-Id', fake_engine.ID))
        request = messages.Request(
            b'GET', path, required + headers, b'', True, self.engine.time
        )
        replies = []
        self.gateway.handle(request, replies.append)
        return [r.status for r in replies]


def single(**fields):
    """Return a World whose route has one service with one target."""
    world = World(shape=routes.Shape.ONE, **fields)
    world.engine.add_target('a', 's')
    return world


# Guards against requests of unknown callers that run, and against keys in
# logs, metrics and replies.
@pytest.mark.parametrize(
    'headers',
    [(), ((b'Api-Key', b'guess-9'),), ((b'Api-Key', KEY),) * 2],
)
def test_request_without_a_known_key_is_refused_and_recorded(headers):
    world = single()
    assert world.request(*headers) == [401]
    assert not world.engine.sends
    (fields,) = world.engine.log.fields('request.refused')
    assert fields['status'] == 401
    outcome = 'unknown' if len(headers) == 1 else 'missing'
    text = world.engine.metrics.render()
    assert f'savorycross_keys{{outcome="{outcome}"}} 1' in text
    for _, value in headers:
        assert value.decode() not in str(world.engine.log.events) + text


def test_operators_see_what_a_workspace_asked_and_why_it_was_refused():
    """Guards against refusals that nobody can attribute to a workspace."""
    world = single()
    (state,) = world.engine.target_registry.states()
    state.max_in_flight = 1
    state.add_latency(40.0, world.engine.time)
    assert not world.request((b'Api-Key', KEY))
    statuses = [world.request((b'Api-Key', KEY)) for _ in range(20)]
    world.engine.sends[0].on_reply(fake_engine.reply())
    assert world.request((b'Api-Key', b'guess-9')) == [401]
    refused = statuses.count([503])
    assert refused >= 15
    world.gateway.workspace_counts.set_gauges(world.engine.metrics)
    lines = world.engine.metrics.render().splitlines()
    requests = 'savorycross_workspace_requests'
    refusals = 'savorycross_workspace_refusals'
    for line in (
        f'{requests}{{outcome="answered",workspace="later"}} 1',
        f'{requests}{{outcome="refused",workspace="later"}} {refused}',
        f'{refusals}{{reason="no slots",workspace="later"}} {refused}',
        f'{refusals}{{reason="key unknown",workspace="(none)"}} 1',
    ):
        assert line in lines
    first, *_ = world.engine.log.fields('request.refused')
    assert first['workspace'] == 'later'


# Guards against targets that see keys, or trust a caller's own claim.
def test_target_gets_the_workspace_and_no_key():
    world = single()
    assert not world.request((b'API-KEY', KEY), (b'tenant', b'other'))
    (exchange,) = world.engine.sends
    assert exchange.data.count(b'enant: ') == 1
    assert b'\r\nTenant: later\r\n' in exchange.data
    assert b'key' not in exchange.data.lower()
    assert KEY not in exchange.data


def test_public_route_needs_no_key_and_names_no_workspace():
    world = single(is_public=True)
    assert not world.request((b'Tenant', b'other'))
    assert not world.request((b'Api-Key', b'guess-9'), (b'Tenant', b'other'))
    assert len(world.engine.sends) == 2
    for exchange in world.engine.sends:
        assert b'enant' not in exchange.data
        assert b'Key' not in exchange.data


# Guards against deployments without workspaces whose callers' headers change.
def test_headers_pass_unchanged_without_workspaces():
    world = single(has_workspaces=False)
    assert not world.request((b'Api-Key', KEY), (b'Tenant', b'other'))
    (exchange,) = world.engine.sends
    assert b'\r\nApi-Key: sesame-7\r\nTenant: other\r\n' in exchange.data


def test_delegate_gets_the_workspace_and_no_key():
    world = World(services=('f1', 'f2', 'f3'))
    world.engine.add_far_targets(('f1', 'f2', 'f3'))
    assert not world.request((b'Api-Key', KEY), (b'Tenant', b'other'))
    (exchange,) = world.batches
    batch = protocol.decode_batch(exchange.data.partition(b'\r\n\r\n')[2])
    assert (b'Tenant', b'later') in batch.headers
    assert (b'Tenant', b'other') not in batch.headers
    assert KEY not in exchange.data


def test_request_without_a_route_is_not_asked_for_a_key():
    assert single().request(path=b'/other') == [404]


# Guards against callers that give up for a key that a configuration which the
# instance missed no longer asks for, or declares.
@pytest.mark.parametrize('headers', [(), ((b'Api-Key', b'added'),)])
def test_outdated_instance_refuses_no_key_for_good(headers):
    world = single()
    world.gateway = gateway.Gateway(world.engine, is_outdated=lambda: True)
    world.adopt([(LATER, [KEY.decode()])])
    assert world.request(*headers) == [503]


# Guards against callers that give their keys up as an instance starts.
def test_instance_without_a_configuration_does_not_judge_keys():
    world = single()
    world.gateway = gateway.Gateway(world.engine)
    assert world.request((b'Api-Key', KEY)) == [503]


@pytest.mark.parametrize('first', ['later', 'new'])
def test_key_that_two_workspaces_have_belongs_to_the_first(first):
    key = KEY.decode()
    pairs = [(LATER, [key]), (workspace.Workspace('new'), [key])]
    if first == 'new':
        pairs.reverse()
    world = single()
    world.adopt(pairs)
    assert not world.request((b'Api-Key', KEY))
    (exchange,) = world.engine.sends
    assert b'\r\nTenant: %s\r\n' % first.encode() in exchange.data
    directory_ = world.gateway.configuration.workspaces
    ((loser, holder),) = directory_.conflicts
    assert (holder, loser == first) == (first, False)


# Guards against a name that adds headers of its own to requests.
def test_name_with_line_breaks_stays_in_its_header():
    world = single()
    world.adopt([(workspace.Workspace('x\r\nHost: evil'), [KEY.decode()])])
    assert not world.request((b'Api-Key', KEY))
    assert b'Tenant: xHost: evil\r\n' in world.engine.sends[0].data


def test_workspace_goes_before_the_route_in_urgency():
    call = fake_engine.make_call()
    dialect = fake_engine.FakeEngine().dialect
    urgent = dialect.assign(call, workspace.Workspace('a', priority=1))
    less = dialect.assign(call, LATER)
    low = fake_engine.make_route(('s',), priority=3)
    high = fake_engine.make_route(('s',), priority=0)
    assert urgent.urgency(low) < less.urgency(high)
    assert call.urgency(low) < urgent.urgency(high)


class Clock:
    """The clock of confirmations."""

    def __init__(self):
        self.time = 50.0

    def __call__(self):
        return self.time


def bounded():
    """Return a World with a bound on withdrawn keys, and its clock."""
    world = single()
    clock = Clock()
    world.freshness = freshness.Freshness(5.0)
    world.asked = []
    adopted = world.gateway.configuration
    world.gateway = gateway.Gateway(
        world.engine,
        key_check=key_check.KeyCheck(
            world.freshness, clock, lambda: world.asked.append(True)
        ),
    )
    world.gateway.adopt(adopted)
    world.freshness.confirm(clock.time)
    return world, clock


# Guards against requests that run by a key which may have been withdrawn.
def test_key_is_not_judged_once_its_confirmation_is_too_old():
    world, clock = bounded()
    clock.time += 4.4
    assert not world.request((b'Api-Key', KEY))
    clock.time += 0.2
    assert world.request((b'Api-Key', KEY)) == [503]
    assert world.request((b'Api-Key', b'guess-9')) == [503]
    assert world.request() == [401]
    assert len(world.engine.sends) == 1
    assert len(world.asked) == 2
    world.freshness.confirm(clock.time)
    assert not world.request((b'Api-Key', KEY))


def test_unconfirmed_keys_do_not_concern_public_routes():
    world, clock = bounded()
    world.route = fake_engine.make_route(
        ('s',), routes.Shape.ONE, is_public=True
    )
    world.adopt([(LATER, [KEY.decode()])])
    clock.time += 60.0
    assert not world.request((b'Api-Key', KEY))


# Guards against a request of which the process reads the bytes after it was
# stopped, long after the key was withdrawn.
def test_time_of_arrival_does_not_count():
    world, clock = bounded()
    clock.time += 10.0
    world.engine.time -= 30.0
    assert world.request((b'Api-Key', KEY)) == [503]


# Guards against answers that are lost, since a request that was sent before
# its key was withdrawn may run.
def test_request_that_was_admitted_goes_on_after_its_key_is_withdrawn():
    world, _ = bounded()
    assert not world.request((b'Api-Key', KEY))
    world.adopt([(LATER, ['another'])])
    (exchange,) = world.engine.sends
    exchange.state.record_failure(world.engine.time)
    world.engine.add_target('b', 's')
    world.engine.advance(0.3)
    assert world.request((b'Api-Key', KEY)) == [401]


# Guards against pipelined requests that were read with an earlier one and use
# the keys which were in force then.
def test_each_request_is_judged_by_the_keys_in_force_at_its_turn():
    world, _ = bounded()
    other = workspace.Workspace('other')
    assert not world.request((b'Api-Key', KEY))
    world.adopt([(other, [KEY.decode()])])
    assert not world.request((b'Api-Key', KEY))
    world.adopt([(other, [])])
    assert world.request((b'Api-Key', KEY)) == [401]
    names = [b'Tenant: later' in e.data for e in world.engine.sends]
    assert names == [True, False]
