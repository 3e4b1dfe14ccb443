"""Tests of how instances lend tokens and tell what targets state."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from savorycross.discovery import target
from savorycross.forward import target_registry
from savorycross.overload import shares
from savorycross.rate import borrowing
from savorycross.rate import protocol
from savorycross.rate import target_rates
from tests.forward import fake_engine
from tests import null_log
from tests.rate import test_limiter

NOW = 100.0


class Bus:
    """Instances that exchange messages at once, or lose them.

    :param names: names of the instances, all of which are senders.
    """

    def __init__(self, names):
        self.now = NOW
        self.is_lossy = lambda: False
        self.messages = 0
        self.rates = {}
        self.states = {}
        for name in names:
            self._add(name, frozenset(names))

    def _add(self, name, names):
        log = null_log.NullLog()
        targets = target_registry.TargetRegistry(
            lambda address: fake_engine.FakePool(address, []), log
        )
        rates = target_rates.TargetRates(
            name, False, targets, self.send, random.Random(1), log, self.now
        )
        rates.set_shares(shares.LimitShares(name, names), self.now)
        targets.put(
            target.Target('t', 's', ('10.0.0.1', 80), 'bilbo', 4), self.now
        )
        self.rates[name] = rates
        (self.states[name],) = targets.states()

    def send(self, name, message):
        """Deliver a message, through its encoding."""
        self.messages += 1
        if not self.is_lossy():
            decoded = protocol.decode(protocol.encode(message))
            self.rates[name].on_message(decoded, self.now)

    def state(self, name, rate_per_s):
        """Let the target state a limit in an answer to an instance."""
        self.rates[name].record_statement(
            self.states[name], rate_per_s, self.now, self.now
        )

    def rate_of(self, name):
        """Return the limit that an instance knows."""
        return self.states[name].rate.statement.rate_per_s

    def try_send(self, name):
        """Send if tokens allow it, borrowed ones too; return whether."""
        rates, state = self.rates[name], self.states[name]
        while not rates.may_send(state, self.now):
            before = self.messages
            rates.borrow([state], 1, self.now)
            if self.messages == before:
                return False
        return rates.take(state, self.now)


def test_instance_without_tokens_borrows_those_of_others():
    bus = Bus('abcd')
    bus.state('a', 4.0)
    bus.now += 1.0
    sent = 0
    while bus.try_send('a'):
        sent += 1
    assert sent == 4
    assert not any(
        r.may_send(bus.states[n], bus.now) for n, r in bus.rates.items()
    )


def test_nobody_is_asked_again_after_all_were_asked_in_vain():
    bus = Bus('abcd')
    bus.state('a', 4.0)
    state = bus.states['a']
    assert bus.rates['a'].may_borrow([state], bus.now)
    assert not bus.try_send('a')
    assert bus.messages >= 2 * 3
    assert not bus.rates['a'].may_borrow([state], bus.now)
    bus.messages = 0
    assert not bus.try_send('a')
    assert not bus.messages
    bus.now += borrowing.PAUSE_S
    assert bus.rates['a'].may_borrow([state], bus.now)


def test_another_instance_is_asked_if_a_reply_is_lost():
    bus = Bus('abc')
    bus.state('a', 3.0)
    bus.now += 1.0
    assert bus.try_send('a')
    bus.is_lossy = lambda: True
    assert not bus.try_send('a')
    bus.is_lossy = lambda: False
    assert not bus.try_send('a')
    bus.now += borrowing.REPLY_S
    assert bus.try_send('a')


def test_all_instances_learn_that_a_limit_began_and_ended():
    bus = Bus('abcd')
    bus.state('a', 4.0)
    assert [bus.rate_of(n) for n in 'abcd'] == [4.0] * 4
    bus.now += 1.0
    bus.state('b', None)
    assert [bus.rate_of(n) for n in 'abcd'] == [None] * 4


def test_instance_that_missed_the_end_of_a_limit_learns_it_when_it_asks():
    bus = Bus('ab')
    bus.state('a', 2.0)
    bus.now += 1.0
    bus.is_lossy = lambda: True
    bus.state('b', None)
    bus.is_lossy = lambda: False
    assert bus.rate_of('a') == 2.0
    state = bus.states['a']
    assert bus.rates['a'].take(state, bus.now)
    assert not bus.rates['a'].may_send(state, bus.now)
    bus.rates['a'].borrow([state], 1, bus.now)
    assert bus.rate_of('a') is None


def test_older_news_does_not_replace_a_newer_statement():
    bus = Bus('ab')
    row = protocol.Row('t', 4.0, age_ms=500)
    message = protocol.RateMessage(protocol.FORMAT, 'b', False, (row,))
    bus.state('a', None)
    bus.rates['a'].on_message(message, bus.now)
    assert bus.rate_of('a') is None


def test_copy_of_a_reply_lends_nothing():
    bus = Bus('ab')
    bus.state('a', 2.0)
    state, tested = bus.states['a'], bus.rates['a']
    bus.is_lossy = lambda: True
    tested.borrow([state], 1, bus.now)
    row = protocol.Row('t', 2.0, age_ms=0, tokens=1)
    reply = protocol.RateMessage(protocol.FORMAT, 'b', False, (row,))
    for _ in range(2):
        tested.on_message(reply, bus.now)
    assert tested.take(state, bus.now)
    assert not tested.may_send(state, bus.now)


def test_others_are_not_told_of_each_small_change_of_a_limit():
    bus = Bus('abc')
    for number in range(20):
        bus.state('a', 9.0 + 0.01 * number)
        bus.now += 0.5
    assert bus.messages == 2
    bus.state('a', 6.0)
    assert [bus.rate_of(n) for n in 'abc'] == [6.0] * 3


@hypothesis.settings(deadline=None, max_examples=30)
@hypothesis.given(
    rate_per_s=strategies.floats(0.3, 40.0),
    count=strategies.sampled_from((2, 4, 15, 79)),
    loss=strategies.sampled_from((0.0, 0.1)),
    seed=strategies.integers(0, 999),
)
def test_lending_keeps_the_rate_and_uses_it(rate_per_s, count, loss, seed):
    rng = random.Random(seed)
    names = [f'entry-{n}' for n in range(count)]
    bus = Bus(names)
    bus.state(names[0], rate_per_s)
    bus.is_lossy = lambda: rng.random() < loss
    sends = []
    while bus.now < NOW + 8.0:
        bus.now += rng.expovariate(2.0 * rate_per_s + 20.0)
        if bus.try_send(rng.choice(names)):
            sends.append(bus.now)
    bound = test_limiter._bound(rate_per_s)
    assert test_limiter._most_in_window(sends) <= bound
    if not loss:
        assert len(sends) >= 0.7 * 8.0 * rate_per_s - 4


def _engine_without_tokens():
    engine = fake_engine.FakeEngine()
    engine.set_all_shares(
        shares.LimitShares('entry-1', frozenset(('entry-1', 'entry-2')))
    )
    engine.advance(3.0)
    engine.add_target('t', 's')
    (state,) = engine.target_registry.states()
    engine.rates.record_statement(state, 0.4, engine.time, engine.time)
    engine.rate_messages.clear()
    return engine


@pytest.mark.parametrize('tokens', [0, 1])
def test_call_waits_for_borrowed_tokens_or_is_refused_soon(tokens):
    engine = _engine_without_tokens()
    outcomes = []
    fake_engine.start_call(engine, outcomes)
    ((lender, request),) = engine.rate_messages
    assert lender == 'entry-2' and request.rows[0].tokens == 1
    engine.advance(0.002)
    row = protocol.Row('t', 0.4, 0, tokens)
    engine.rates.on_message(
        protocol.RateMessage(protocol.FORMAT, lender, False, (row,)),
        engine.time,
    )
    started_at = engine.time
    engine.advance(0.05)
    assert len(engine.sends) == tokens
    if not tokens:
        assert [o for _, o in outcomes] == ['refused']
        fake_engine.start_call(engine, outcomes)
        assert outcomes[-1] == (started_at + 0.05, 'refused')
