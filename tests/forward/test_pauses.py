"""Targets that refuse with 503 and say when they want something again."""

import pytest

from savorycross.delegate import protocol
from savorycross.overload import reachability
from savorycross.platform import dialect
from savorycross.wire import messages
from tests.delegate import test_batch_handler
from tests.forward import fake_engine

PAUSE_S = 2.0


def _refuse(engine, **fields):
    """Refuse the latest send; return the id of its target."""
    exchange = engine.sends[-1]
    headers = {'Not_Run': b'1', 'Retry_After': b'%.1f' % PAUSE_S, **fields}
    exchange.on_reply(fake_engine.reply(status=503, stamp=b'', **headers))
    return exchange.state.target.id


def _make(*targets):
    engine = fake_engine.FakeEngine()
    for name in targets:
        engine.add_target(name, 's')
    return engine


def test_target_gets_nothing_until_the_time_that_it_states():
    engine = _make('a', 'b')
    fake_engine.start_call(engine)
    paused = _refuse(engine)
    refused_at = engine.time
    engine.sends[-1].on_reply(fake_engine.reply())
    while engine.time < refused_at + PAUSE_S - 0.1:
        fake_engine.start_call(engine)
        assert engine.sends[-1].state.target.id != paused
        engine.sends[-1].on_reply(fake_engine.reply())
        engine.advance(0.05)
    engine.advance(0.2)
    assert not engine.target_registry.find(paused).is_paused(engine.time)


def test_retries_and_hedges_leave_a_paused_target_alone():
    engine = _make('a')
    fake_engine.start_call(engine)
    _refuse(engine)
    engine.advance(1.0)
    assert len(engine.sends) == 1


def test_call_is_refused_at_once_when_all_targets_pause_for_longer():
    engine = _make('a', 'b')
    ends = []
    fake_engine.start_call(engine)
    _refuse(engine)
    _refuse(engine)
    started_at = engine.time
    fake_engine.start_call(engine, ends)
    assert ends == [(started_at, 'refused')]


def test_call_waits_for_a_pause_that_ends_in_time():
    engine = _make('a')
    fake_engine.start_call(engine)
    _refuse(engine, Retry_After=b'0.3')
    engine.advance(0.1)
    fake_engine.start_call(engine)
    assert len(engine.sends) == 1
    engine.advance(0.3)
    assert len(engine.sends) > 1


def test_callers_are_told_to_return_once_the_pause_is_over():
    engine = _make('a')
    fake_engine.start_call(engine)
    _refuse(engine)
    outlook = engine.outlook('s', engine.time, engine.time)
    assert outlook == reachability.Outlook(False, engine.time + PAUSE_S)


def test_pause_outlasts_an_entry_that_lapses_while_the_store_is_away():
    engine = _make('a')
    fake_engine.start_call(engine)
    _refuse(engine)
    registry = engine.target_registry
    entry = registry.find('a').target
    registry.remove('a', engine.time)
    engine.advance(0.5)
    registry.prune(engine.time)
    registry.put(entry, engine.time)
    assert registry.find('a').is_paused(engine.time)
    registry.remove('a', engine.time)
    engine.add_target('a', 's', born=2)
    assert not registry.find('a').is_paused(engine.time)


def test_target_of_a_limited_service_that_pauses_takes_no_token():
    engine = _make('a')
    (state,) = engine.target_registry.states()
    engine.rates.record_statement(state, 50.0, 0.0, engine.time)
    engine.advance(1.0)
    engine.record_pause(state, PAUSE_S)
    assert not engine.may_start('s', engine.time)
    assert not engine.may_borrow('s', engine.time)
    assert engine.expect_turn('s', engine.time) == engine.time + PAUSE_S


def test_delegate_leaves_a_paused_target_alone_and_says_so():
    run = test_batch_handler.Run(('a',))
    run.answer(0, status=503, Not_Run=b'1', Retry_After=b'2')
    (result,) = run.results[0]
    assert result.pause_ms == 2000
    run.request(('a',), paid=frozenset({0}))
    assert run.results[-1][0].outcome is protocol.Outcome.NOT_RUN
    assert len(run.engine.sends) == 1


@pytest.mark.parametrize(
    ('status', 'value', 'expected'),
    [
        (503, b'1.5', 1.5),
        (503, b'0', 0.0),
        (503, b'-1', 0.0),
        (503, b'inf', 0.0),
        (503, b'nan', 0.0),
        (503, b'Sat, 05 Dec 2026 02:00:00 GMT', 0.0),
        (429, b'1.5', 0.0),
        (200, b'1.5', 0.0),
    ],
)
def test_pause_is_read_from_refusals_with_503_only(status, value, expected):
    reply = messages.Reply(status, ((b'Retry-After', value),))
    assert dialect.PlatformDialect().read_pause_s(reply) == expected


def test_waiting_call_is_refused_once_all_targets_pause_for_longer():
    engine = _make('a')
    (state,) = engine.target_registry.states()
    state.pool.has_room = False
    ends = []
    started_at = engine.time
    fake_engine.start_call(engine, ends)
    engine.advance(0.1)
    assert not ends
    engine.record_pause(state, PAUSE_S)
    engine.advance(0.05)
    ((ended_at, outcome),) = ends
    assert outcome == 'refused'
    assert ended_at <= started_at + 0.15
