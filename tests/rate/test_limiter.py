"""Tests of the limit on the sends to a target that states its rate."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from savorycross.forward import attempt
from savorycross.overload import shares
from savorycross.rate import limiter
from savorycross.rate import statement
from tests.forward import fake_engine

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
STEP_S = 0.02


def _views(names):
    senders = frozenset(names)
    return {n: (shares.LimitShares(n, senders),) for n in names}


def _most_in_window(times):
    return max(
        (sum(s <= t < s + WINDOW_S for t in times) for s in times), default=0
    )


def _bound(rate_per_s):
    return OVERAGE * WINDOW_S * rate_per_s + SLACK


@hypothesis.settings(deadline=None, max_examples=40)
@hypothesis.given(
    rate_per_s=strategies.floats(0.0, 60.0),
    count=strategies.sampled_from((1, 2, 3, 4, 15, 79)),
    idle_s=strategies.floats(0.0, 9.0),
)
def test_senders_together_keep_to_the_stated_rate(rate_per_s, count, idle_s):
    names = [f'entry-{n}' for n in range(count)]
    views = _views(names)
    limiters = {n: limiter.RateLimiter('t', 0.0) for n in names}
    stated = statement.Statement(rate_per_s, 0.0)
    for name, limited in limiters.items():
        limited.record(stated, views[name], 0.0)
    sends = []
    steps = int(2 * WINDOW_S / STEP_S)
    for now in (idle_s + n * STEP_S for n in range(steps)):
        for name, limited in limiters.items():
            while limited.may_send(views[name], now):
                assert limited.take(views[name], now)
                sends.append(now)
    assert _most_in_window(sends) <= _bound(rate_per_s)
    if rate_per_s >= 1.0:
        used = sum(idle_s + WINDOW_S <= t for t in sends)
        assert used >= 0.9 * rate_per_s * WINDOW_S - count


def test_sender_that_loses_its_part_loses_its_tokens():
    both = _views(['a', 'b'])
    limited = limiter.RateLimiter('t', 0.0)
    limited.record(statement.Statement(10.0, 0.0), both['a'], 0.0)
    assert limited.may_send(both['a'], 9.0)
    without = (shares.LimitShares('a', frozenset('b')),)
    assert not limited.may_send((*both['a'], *without), 9.0)
    assert not limited.may_send(both['a'], 9.0)
    assert limited.may_send(both['a'], 9.3)


def test_new_limit_begins_without_tokens():
    views = _views(['a'])['a']
    limited = limiter.RateLimiter('t', 0.0)
    assert limited.may_send(views, 1.0)
    limited.record(statement.Statement(2.0, 1.0), views, 1.0)
    assert not limited.may_send(views, 1.0)
    assert limited.may_send(views, 1.6)
    limited.record(statement.Statement(None, 1.7), views, 1.7)
    assert limited.may_send(views, 1.7)


def _state_limit(engine, rate_per_s):
    (state,) = engine.target_registry.states()
    now = engine.now()
    engine.rates.record_statement(state, rate_per_s, now, now)
    return state


@pytest.mark.parametrize('kind', list(attempt.SendKind))
def test_each_kind_of_send_takes_a_token(kind):
    engine = fake_engine.FakeEngine()
    engine.add_target('t', 's')
    state = _state_limit(engine, 1.0)
    assert not engine.may_send(state, engine.now())
    engine.advance(1.0)
    assert engine.may_send(state, engine.now())
    assert engine.record_send(state, kind, engine.now())
    assert not engine.may_send(state, engine.now())


def test_send_counted_by_another_instance_takes_no_token():
    engine = fake_engine.FakeEngine()
    engine.add_target('t', 's')
    state = _state_limit(engine, 1.0)
    engine.advance(1.0)
    kind = attempt.SendKind.DELEGATED
    engine.record_send(state, kind, engine.now(), is_paid=True)
    assert engine.may_send(state, engine.now())


def test_call_without_any_target_waits_for_one():
    engine = fake_engine.FakeEngine()
    ends = []
    fake_engine.start_call(engine, ends)
    assert not ends
    engine.add_target('t', 's')
    engine.advance(0.03)
    assert len(engine.sends) == 1


@pytest.mark.parametrize('born', [1, 2])
def test_target_whose_entry_lapsed_keeps_its_limit_until_it_restarts(born):
    engine = fake_engine.FakeEngine()
    engine.add_target('t', 's', born=1)
    state = _state_limit(engine, 1.0)
    known = engine.target_registry
    known.remove('t', engine.now())
    entry = dataclasses.replace(state.target, born=born)
    known.put(entry, engine.now())
    assert known.find('t').rate.is_limited == (born == 1)
