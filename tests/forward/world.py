"""Fakes around calls: targets that answer when told, a clock by hand."""

import random

from savorycross.delegate import selector
from savorycross.discovery import target
from savorycross.forward import call as calls
from savorycross.forward import engine
from savorycross.forward import picker
from savorycross.forward import roster
from savorycross.gateway import site
from savorycross.metrics import registry
from savorycross.platform import dialect
from savorycross.route import route
from savorycross.wire import messages
from savorycross.wire import timers
from tests.delegate import fakes
from tests import null_log

ID = b'request-1'


class FakePool:
    """Takes exchanges and keeps them until the test answers.

    :param address: host and port of the target.
    :param sends: list of all exchanges in the order of their sends.

    ``connects`` tells whether targets take connections.
    """

    connects = True

    def __init__(self, address, sends):
        self.address = address
        self._sends = sends
        self.limit = 1
        self.sent = []
        self.has_room = True

    def send(self, exchange, max_idle_s=None):
        """Take an exchange."""
        self.sent.append(exchange)
        self._sends.append(exchange)
        return FakeConnection(self.connects)

    def prune(self, now):
        """Do nothing."""

    def close(self):
        """Do nothing."""


class FakeConnection:
    """Notes whether it was closed."""

    def __init__(self, was_sent):
        self.is_closed = False
        self.was_sent = was_sent

    def close(self):
        """Note the closing."""
        self.is_closed = True


class FakeEngine(engine.Engine):
    """An engine whose time the test sets.

    :param others: DelegateSelector; by default no other instance is known.
    """

    def __init__(self, slack=1000.0, is_first_start=True, others=None):
        self.time = 100.0
        self.pools = {}
        self.sends = []
        self.site = make_site(slack, is_first_start)
        found_log = null_log.NullLog()
        super().__init__(
            self.site,
            dialect.PlatformDialect(),
            roster.Roster(self._make_pool, found_log),
            picker.Picker('bilbo', random.Random(1)),
            others or make_delegates(),
            timers.Timers(),
            found_log,
            registry.Registry(),
        )

    def now(self):
        """Return the time."""
        return self.time

    def advance(self, seconds):
        """Let time pass and run timers that become due."""
        until = self.time + seconds
        heap = self.timers._heap
        while heap and heap[0][0] <= until:
            self.time = max(self.time, heap[0][0])
            self.timers.run_due(self.time)
        self.time = until

    def add_target(self, id_, service, data_centre='bilbo', **fields):
        """Declare a target."""
        address = (f'10.0.0.{len(self.pools) + 1}', 80)
        found = target.Target(
            id=id_,
            service=service,
            address=address,
            data_centre=data_centre,
            slots=4,
            **fields,
        )
        self.roster.put(found, self.time)

    def add_far_targets(self, services):
        """Declare a target of each service in two other data centres."""
        for name in services:
            self.add_target(f'{name}-d', name, 'donosti')
            self.add_target(f'{name}-i', name, 'iruna')

    def sent_to(self, id_):
        """Return the exchanges that a target was sent."""
        for state in self.roster.states():
            if state.target.id == id_:
                return state.pool.sent
        raise KeyError(id_)

    def _make_pool(self, address):
        return self.pools.setdefault(address, FakePool(address, self.sends))


def make_delegates(*others, make_pool=None):
    """Return the DelegateSelector of an instance that knows others."""
    return selector.DelegateSelector(
        fakes.make_peer('a', 'bilbo'), fakes.FakePeers(*others), make_pool
    )


def make_site(slack=1000.0, is_first_start=True):
    """Return a Site for tests."""
    return site.Site(
        name='entry-1',
        data_centre='bilbo',
        caller_address=('127.0.0.1', 1),
        ready_address=('127.0.0.1', 2),
        entry_address=('127.0.0.1', 3),
        peer_address=('127.0.0.1', 4),
        metrics_address=('127.0.0.1', 6),
        store_address=('127.0.0.1', 5),
        seeds=(),
        is_first_start=is_first_start,
        grace_s=6.0,
        settled_s=4.0,
        apply_s=3.0,
        drain_s=3.0,
        evacuate_s=5.0,
        keep_most_s=5.0,
        extra=site.ExtraLimits(0.2, slack, 10.0),
        cold=site.ColdLimits(1.5, 5.0),
    )


def make_route(services, shape=route.Shape.ALL, **fields):
    """Return a Route to services."""
    given = {
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
        **given,
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
        allowed_s=1.0,
        received_at=received_at,
    )


def reply(status=200, stamp=b's.1', body=b'a' * 16, id_=ID, **more):
    """Return a target's Reply."""
    headers = [(b'Request-Id', id_)]
    if stamp:
        headers.append((b'Server-Stamp', stamp))
    for name, value in more.items():
        headers.append((name.replace('_', '-').encode(), value))
    return messages.Reply(status, tuple(headers), body)
