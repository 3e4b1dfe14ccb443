"""Tests of what targets say about the rate of requests that they take."""

import pytest

from savorycross.platform import dialect
from savorycross.wire import messages
from tests.forward import fake_engine


@pytest.mark.parametrize(
    ('value', 'rate_per_s'),
    [
        (b'9.5', 9.5),
        (b'0', 0.0),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'soon', None),
    ],
)
def test_only_a_finite_rate_is_read_from_a_reply(value, rate_per_s):
    reply = messages.Reply(200, ((b'Server-Limit', value),))
    assert dialect.PlatformDialect().read_rate_limit(reply) == rate_per_s


def _send_to_one(engine):
    fake_engine.start_call(engine)
    return engine.sends[-1]


def _rate(engine):
    (state,) = engine.target_registry.states()
    return state.rate.statement.rate_per_s


def test_answer_that_was_overtaken_does_not_end_a_limit():
    engine = fake_engine.FakeEngine()
    engine.add_target('t', 's')
    earlier = _send_to_one(engine)
    later = _send_to_one(engine)
    engine.advance(0.01)
    later.on_reply(fake_engine.reply(Server_Limit=b'50'))
    assert _rate(engine) == 50.0
    engine.advance(0.01)
    earlier.on_reply(fake_engine.reply())
    assert _rate(engine) == 50.0
    engine.advance(1.0)
    _send_to_one(engine).on_reply(fake_engine.reply())
    assert _rate(engine) is None


def test_refusal_states_a_limit_but_does_not_end_one():
    engine = fake_engine.FakeEngine()
    engine.add_target('t', 's')
    refusal = {'status': 503, 'Not_Run': b'1'}
    _send_to_one(engine).on_reply(
        fake_engine.reply(**refusal, Server_Limit=b'50')
    )
    assert _rate(engine) == 50.0
    engine.advance(1.0)
    _send_to_one(engine).on_reply(fake_engine.reply(**refusal))
    assert _rate(engine) == 50.0
