"""Tests of calls that one service answers."""

import dataclasses

from savorycross.forward import single_call
from savorycross.route import route
from tests.forward import fake_engine


def _run(engine, timeout_s):
    """Start a call to the only target of a service and let it time out."""
    ends = []
    call = single_call.SingleCall(
        engine,
        fake_engine.make_call(received_at=engine.time),
        fake_engine.make_route(['s'], route.Shape.ONE, attempts=1),
        's',
        engine.time + timeout_s,
        lambda reply, outcome: ends.append((reply.status, outcome)),
    )
    call.start()
    engine.advance(timeout_s + 0.01)
    return ends


def test_target_that_never_ends_its_reply_counts_as_failed():
    engine = fake_engine.FakeEngine()
    engine.add_target('a', 's')
    assert _run(engine, 1.0) == [(504, 'timeout')]
    (state,) = engine.target_registry.states()
    assert state.failures == 1


def test_send_with_little_time_left_says_nothing_of_its_target():
    engine = fake_engine.FakeEngine()
    engine.add_target('a', 's')
    assert _run(engine, 0.01) == [(504, 'timeout')]
    (state,) = engine.target_registry.states()
    assert state.failures == 0


# Guards against bodies that the timers of ended calls kept for seconds.
def test_ended_call_keeps_no_bytes_of_its_request_and_reply():
    engine = fake_engine.FakeEngine()
    engine.add_target('a', 's')
    call = dataclasses.replace(fake_engine.make_call(), body=b'x' * 1000)
    replies = []
    single = single_call.SingleCall(
        engine,
        call,
        fake_engine.make_route(['s'], route.Shape.ONE),
        's',
        engine.time + 1.0,
        lambda reply, outcome: replies.append(reply),
    )
    single.start()
    (exchange,) = engine.sends
    exchange.on_reply(fake_engine.reply())
    assert replies[0].body
    assert not call.body
    assert single._fetch.reply is None
    assert engine.buffers.count == 0
