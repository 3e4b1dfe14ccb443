"""Tests of calls to many shards whose targets state limits."""

import pytest

from savorycross.forward import gather_start
from savorycross.forward import scatter_gather
from tests.forward import fake_engine

SERVICES = ('s1', 's2', 's3', 's4')
OBJECTIVE_S = 0.2


class Run:
    """A call to services that needs three answers of four.

    :param services: names of the services.
    :param rates: requests a second that the target of each of the services
        states; a limit begins without tokens.
    """

    def __init__(self, services=SERVICES, **rates):
        self.engine = fake_engine.FakeEngine()
        self._services = services
        for name in services:
            self.engine.add_target(name, name)
        self._rates = rates
        self.ends = []

    def start(self, idle_s=0.0):
        """Start the call some time after the limits began."""
        engine = self.engine
        for state in engine.target_registry.states():
            rate_per_s = self._rates.get(state.target.id)
            engine.rates.record_statement(state, rate_per_s, 0.0, engine.time)
        engine.advance(idle_s)
        call = scatter_gather.ScatterGather(
            engine,
            fake_engine.make_call(received_at=engine.time),
            fake_engine.make_route(self._services, min_coverage=0.75),
            objective_at=engine.time + OBJECTIVE_S,
            end_at=engine.time + 1.0,
            on_end=lambda reply, outcome: self.ends.append((reply, outcome)),
        )
        call.start()

    @property
    def sent_to(self):
        """Names of the services whose targets got the call."""
        return [e.state.target.service for e in self.engine.sends]


def test_no_target_works_on_a_call_until_limits_allow_what_it_needs():
    run = Run(s1=60.0, s2=40.0)
    run.start()
    assert run.sent_to == []
    run.engine.advance(0.02)
    assert sorted(run.sent_to) == ['s1', 's3', 's4']


@pytest.mark.parametrize('rate_per_s', [1.0, 4.5])
def test_call_beyond_the_limits_is_refused_early_without_a_send(rate_per_s):
    run = Run(s1=rate_per_s, s2=rate_per_s)
    run.start()
    run.engine.advance(OBJECTIVE_S / 4)
    ((reply, outcome),) = run.ends
    assert outcome == 'refused'
    assert reply.status == 503
    assert reply.header(b'retry-after')
    assert run.sent_to == []


def test_part_that_seemed_dispensable_replaces_one_without_room_at_once():
    run = Run(s1=30.0, s2=20.0)
    (state,) = run.engine.target_registry.states()[:1]
    state.pool.has_room = False
    run.start(idle_s=0.1)
    assert sorted(run.sent_to) == ['s2', 's3', 's4']


def test_call_does_without_a_limited_part_that_it_does_not_need():
    run = Run(s1=0.5)
    run.start()
    assert sorted(run.sent_to) == ['s2', 's3', 's4']


def test_no_target_works_on_a_call_that_lacks_tokens_of_several_shards():
    run = Run(s1=60.0, s2=60.0, s3=6.0, s4=6.0)
    run.start()
    run.engine.advance(OBJECTIVE_S / 4)
    ((_, outcome),) = run.ends
    assert outcome == 'refused'
    assert run.sent_to == []


def test_call_starts_as_soon_as_enough_shards_allow_a_send():
    run = Run(s1=60.0, s2=40.0, s3=30.0, s4=6.0)
    run.start()
    run.engine.advance(0.03)
    assert run.sent_to == []
    run.engine.advance(0.03)
    assert sorted(run.sent_to) == ['s1', 's2', 's3']


def test_call_that_lacks_tokens_of_many_shards_waits_in_few_lines():
    names = [f's{n}' for n in range(40)]
    run = Run(names, **dict.fromkeys(names, 6.0))
    run.start()
    waiting = sum(len(run.engine.line(name)) for name in names)
    assert 0 < waiting <= gather_start.MAX_BORROWERS
