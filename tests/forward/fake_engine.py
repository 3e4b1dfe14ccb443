"""Fakes for tests of calls: an engine, its targets and its clock.

Targets answer when the test says so, and the test sets the time.
"""

import random

from savorycross.delegate import selector
from savorycross.discovery import target
from savorycross.forward import call as calls
from savorycross.forward import engine
from savorycross.forward import picker
from savorycross.forward import single_call
from savorycross.forward import target_registry
from savorycross.gateway import instance_settings
from savorycross.metrics import registry
from savorycross.platform import dialect
from savorycross.rate import target_rates
from savorycross.route import route
from savorycross.wire import messages
from savorycross.wire import timers
from tests.delegate import fakes
from tests import null_log

ID = b'request-1'


class FakePool:
    """A pool that records exchanges until the test answers them.

    ``connects`` tells whether targets accept connections.

    :param address: host and port of the target.
    :param sends: list of all exchanges in the order of their sends.
    """

    connects = True

    def __init__(self, address, sends):
        self.address = address
        self._sends = sends
        self.limit = 1
        self.sent = []
        self.has_room = True

    def send(self, exchange, max_idle_s=None, avoided=()):
        """Record an exchange and return its connection."""
        self.sent.append(exchange)
        self._sends.append(exchange)
        return FakeConnection(self.connects)

    def prune(self, now):
        """Do nothing."""

    def close(self):
        """Do nothing."""


class FakeConnection:
    """A connection that records whether it was closed."""

    def __init__(self, was_sent):
        self.is_closed = False
        self.was_sent = was_sent

    def close(self):
        """Record the close."""
        self.is_closed = True


class FakeEngine(engine.Engine):
    """An engine whose time the test sets.

    :param others: DelegateSelector; by default no other instance is known.
    """

    def __init__(self, slack=1000.0, is_first_start=True, others=None):
        self.time = 100.0
        self.pools = {}
        self.sends = []
        self.settings = make_settings(slack, is_first_start)
        event_log = null_log.NullLog()
        targets = target_registry.TargetRegistry(self._make_pool, event_log)
        self.rate_messages = []
        super().__init__(
            self.settings,
            dialect.PlatformDialect(),
            targets,
            picker.Picker('bilbo', random.Random(1)),
            others or make_delegates(),
            timers.Timers(),
            event_log,
            registry.Registry(),
            target_rates.TargetRates(
                self.settings.name,
                not is_first_start,
                targets,
                lambda name, message: self.rate_messages.append(
                    (name, message)
                ),
                random.Random(1),
                event_log,
                self.time,
            ),
        )

    def set_all_shares(self, shares):
        """Set this instance's shares of all limits."""
        self.set_shares(shares)
        self.rates.set_shares(shares, self.time)

    def now(self):
        """Return the time."""
        return self.time

    def advance(self, seconds):
        """Advance the clock and run the timers that become due."""
        until = self.time + seconds
        heap = self.timers._heap
        while heap and heap[0][0] <= until:
            self.time = max(self.time, heap[0][0])
            self.timers.run_due(self.time)
        self.time = until

    def add_target(self, id_, service, data_centre='bilbo', **fields):
        """Declare a target."""
        address = (f'10.0.0.{len(self.pools) + 1}', 80)
        entry = target.Target(
            id=id_,
            service=service,
            address=address,
            data_centre=data_centre,
            slots=4,
            **fields,
        )
        self.target_registry.put(entry, self.time)

    def add_far_targets(self, services):
        """Declare a target of each service in two remote data centres."""
        for name in services:
            self.add_target(f'{name}-d', name, 'donosti')
            self.add_target(f'{name}-i', name, 'iruna')

    def sent_to(self, id_):
        """Return the exchanges that a target was sent."""
        for state in self.target_registry.states():
            if state.target.id == id_:
                return state.pool.sent
        raise KeyError(id_)

    def _make_pool(self, address):
        return self.pools.setdefault(address, FakePool(address, self.sends))


def make_delegates(*others, make_pool=None):
    """Return the DelegateSelector of an instance that knows others."""
    return selector.DelegateSelector(
        fakes.make_peer('a', 'bilbo'),
        fakes.FakePeerRegistry(*others),
        make_pool,
    )


def make_settings(slack=1000.0, is_first_start=True):
    """Return the InstanceSettings of the instance under test."""
    return instance_settings.InstanceSettings(
        name='entry-1',
        data_centre='bilbo',
        caller_address=('127.0.0.1', 1),
        ready_address=('127.0.0.1', 2),
        directory_address=('127.0.0.1', 3),
        peer_address=('127.0.0.1', 4),
        rate_address=('127.0.0.1', 7),
        metrics_address=('127.0.0.1', 6),
        store_address=('127.0.0.1', 5),
        seeds=(),
        is_first_start=is_first_start,
        grace_s=6.0,
        recovery_s=4.0,
        apply_s=3.0,
        drain_s=3.0,
        evacuate_s=5.0,
        max_directory_ttl_s=5.0,
        extra_send_limits=instance_settings.ExtraSendLimits(0.2, slack, 10.0),
        cold_send_limits=instance_settings.ColdSendLimits(1.5, 5.0),
    )


def make_route(services, shape=route.Shape.ALL, **fields):
    """Return a Route to services."""
    parameters = {
        'is_idempotent': True,
        'timeout_s': 1.0,
        'objective_s': 0.2,
        'attempts': 2,
        'record_limit': 5,
        'min_coverage': 0.75,
        **fields,
    }
    return route.Route(
        name='r',
        host='h',
        prefix='/p/',
        shape=shape,
        shares=tuple(route.Share(s, 1.0) for s in services),
        **parameters,
    )


def make_call(received_at=100.0, method=b'GET'):
    """Return a Call."""
    return calls.Call(
        id=ID,
        host='h',
        path='/p/x',
        method=method,
        target=b'/p/x',
        headers=((b'Host', b'h'), (b'Request-Id', ID)),
        body=b'',
        caller_timeout_s=1.0,
        received_at=received_at,
    )


def start_call(engine, ends=None):
    """Start a call to the service ``s``.

    :param ends: list that gets the time and outcome of its end, or None.
    """
    ends = [] if ends is None else ends
    single_call.SingleCall(
        engine,
        make_call(received_at=engine.time),
        make_route(['s'], route.Shape.ONE),
        's',
        engine.time + 1.0,
        lambda reply, outcome: ends.append((engine.time, outcome)),
    ).start()


def reply(status=200, stamp=b's.1', body=b'a' * 16, id_=ID, **more):
    """Return a target's Reply."""
    headers = [(b'Request-Id', id_)]
    if stamp:
        headers.append((b'Server-Stamp', stamp))
    for name, value in more.items():
        headers.append((name.replace('_', '-').encode(), value))
    return messages.Reply(status, tuple(headers), body)
