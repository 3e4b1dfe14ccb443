"""Targets that say in their answers that they leave."""

import pytest

from savorycross.delegate import protocol
from savorycross.forward import target_registry
from tests.delegate import test_batch_handler
from tests.forward import fake_engine

LEAVING = {'Server_Leaving': b'1'}


def _make(*targets):
    engine = fake_engine.FakeEngine()
    for name in targets:
        engine.add_target(name, 's')
    return engine


def _answer_last(engine, **fields):
    """Answer the latest send; return the id of its target."""
    exchange = engine.sends[-1]
    exchange.on_reply(fake_engine.reply(**fields))
    return exchange.state.target.id


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'status': 500},
        {'status': 503, 'stamp': b'', 'Not_Run': b'1'},
        {'status': 429, 'stamp': b'', 'Not_Run': b'1'},
    ],
)
def test_target_that_says_so_gets_no_further_request(fields):
    engine = _make('a', 'b', 'c')
    fake_engine.start_call(engine)
    leaving = _answer_last(engine, **LEAVING, **fields)
    for _ in range(30):
        fake_engine.start_call(engine)
        assert _answer_last(engine) != leaving


def test_callers_are_refused_at_once_when_all_targets_leave():
    engine = _make('a')
    ends = []
    fake_engine.start_call(engine)
    _answer_last(engine, **LEAVING)
    fake_engine.start_call(engine, ends)
    engine.advance(0.05)
    assert len(engine.sends) == 1
    assert ends == [] or ends[0][1] == 'refused'
    engine.advance(1.0)
    assert ends[0][1] == 'refused'


def test_entry_that_is_written_again_does_not_bring_the_target_back():
    engine = _make('a', 'b')
    fake_engine.start_call(engine)
    leaving = _answer_last(engine, **LEAVING)
    entry = engine.target_registry.find(leaving).target
    registry = engine.target_registry
    registry.put(entry, engine.time)
    assert registry.find_usable(leaving) is None
    registry.remove(leaving, engine.time)
    engine.advance(target_registry.RETENTION_S / 2)
    registry.prune(engine.time)
    registry.put(entry, engine.time)
    assert registry.find_usable(leaving) is None


def test_next_incarnation_under_the_same_id_is_used():
    engine = _make('a')
    fake_engine.start_call(engine)
    _answer_last(engine, **LEAVING)
    engine.target_registry.remove('a', engine.time)
    engine.add_target('a', 's', born=2)
    assert engine.target_registry.find_usable('a') is not None


def test_reply_of_another_target_at_the_address_says_nothing_of_this_one():
    engine = _make('a')
    fake_engine.start_call(engine)
    _answer_last(engine, status=421, stamp=b'', **LEAVING)
    assert not engine.target_registry.find('a').is_leaving


def test_delegate_tells_that_a_target_leaves():
    run = test_batch_handler.Run()
    run.answer(0, **LEAVING)
    run.answer(1)
    run.answer(2)
    (rows,) = run.results
    assert [r.is_leaving for r in rows] == [True, False, False]
    run.request(('a',))
    assert run.results[-1][0].outcome is protocol.Outcome.NOT_RUN
    assert run.results[-1][0].is_leaving
    assert len(run.engine.sends) == 3
