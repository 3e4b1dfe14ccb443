"""Tests of calls whose parts come from all services of a route."""

import pytest

from savorycross.forward import scatter_gather
from tests.forward import fake_engine


class Run:
    """A scatter-gather over services of two targets each."""

    def __init__(
        self, services=('s1', 's2', 's3', 's4'), engine=None, **fields
    ):
        self.engine = engine or fake_engine.FakeEngine()
        if engine is None:
            for name in services:
                self.engine.add_target(f'{name}-a', name)
                self.engine.add_target(f'{name}-b', name)
        self.ends = []
        self.gather = scatter_gather.ScatterGather(
            self.engine,
            fake_engine.make_call(received_at=self.engine.time),
            fake_engine.make_route(services, **fields),
            objective_at=100.2,
            end_at=101.0,
            on_end=lambda reply, outcome: self.ends.append((reply, outcome)),
        )
        self.gather.start()

    def exchanges(self, service):
        """Return the exchanges of a service in the order of their sends."""
        return [
            e for e in self.engine.sends if e.state.target.service == service
        ]

    def answer(self, service, n=0, **fields):
        """Answer the nth send of a service."""
        exchange = self.exchanges(service)[n]
        exchange.on_reply(
            fake_engine.reply(**{'stamp': service.encode(), **fields})
        )


def test_all_parts_make_a_complete_answer():
    run = Run()
    for name in ('s1', 's2', 's3', 's4'):
        run.answer(name, body=name[1].encode() * 16)
    ((reply, outcome),) = run.ends
    assert outcome == 'answered'
    assert reply.header(b'parts') == b's1, s2, s3, s4'
    assert reply.header(b'missing-parts') == b'0'
    assert reply.body[::16] == b'4321'


def test_late_failure_of_a_hedged_target_does_not_replace_its_answer():
    run = Run()
    run.engine.advance(0.1)
    assert len(run.exchanges('s1')) == 2
    run.answer('s1', 1)
    run.answer('s1', 0, status=500, stamp=b'bad', body=b'z' * 16)
    for name in ('s2', 's3', 's4'):
        run.answer(name)
    ((reply, _),) = run.ends
    assert reply.header(b'parts') == b's1, s2, s3, s4'
    assert b'z' not in reply.body


def test_enough_parts_are_sent_shortly_before_the_objective():
    run = Run()
    for name in ('s1', 's2', 's3'):
        run.answer(name)
    run.engine.advance(0.15)
    assert not run.ends
    run.engine.advance(0.045)
    ((reply, outcome),) = run.ends
    assert outcome == 'partial'
    assert reply.header(b'missing-parts') == b'1'


def test_too_few_parts_are_not_sent_at_the_objective():
    run = Run()
    run.answer('s1')
    run.answer('s2')
    run.engine.advance(0.5)
    assert not run.ends
    run.answer('s3')
    assert run.ends[0][1] == 'partial'


def test_too_few_parts_fail_at_the_end():
    run = Run()
    run.answer('s1')
    run.engine.advance(1.0)
    ((reply, outcome),) = run.ends
    assert (reply.status, outcome) == (504, 'timeout')


@pytest.mark.parametrize('status', [500, 504])
def test_failure_is_retried_at_another_target(status):
    run = Run()
    run.answer('s1', status=status)
    first, second = run.exchanges('s1')
    assert first.state is not second.state


def test_call_fails_at_once_when_too_few_parts_are_possible():
    run = Run()
    for name in ('s1', 's2'):
        run.answer(name, status=500)
        run.answer(name, 1, status=500)
    ((reply, outcome),) = run.ends
    assert (reply.status, outcome) == (502, 'lost')


def test_cancelled_call_closes_all_connections():
    run = Run()
    run.gather.cancel()
    for name in ('s1', 's2', 's3', 's4'):
        (exchange,) = run.exchanges(name)
        assert exchange.connection.is_closed
    run.engine.advance(2.0)
    assert not run.ends


def test_call_that_all_targets_refuse_is_refused_as_not_run():
    run = Run(('s1',))
    for _ in range(4):
        run.engine.sends[-1].on_reply(fake_engine.reply(503, Not_Run=b'1'))
    ((reply, outcome),) = run.ends
    assert (reply.status, outcome) == (503, 'refused')
    assert reply.header(b'retry-after')


def test_reply_without_a_stamp_is_no_part():
    run = Run()
    run.answer('s1', stamp=b'')
    assert len(run.exchanges('s1')) == 2


def test_reply_with_a_content_encoding_is_no_part():
    run = Run()
    run.answer('s1', content_encoding=b'gzip')
    assert len(run.exchanges('s1')) == 2


def test_call_that_fails_during_its_start_sends_nothing_more():
    services = ('s1', 's2', 's3', 's4')
    engine = fake_engine.FakeEngine()
    engine.add_target('s3-a', 's3')
    engine.add_target('s4-a', 's4')
    ends = []
    call = scatter_gather.ScatterGather(
        engine,
        fake_engine.make_call(received_at=engine.time - 10.0),
        fake_engine.make_route(services),
        objective_at=engine.time - 9.8,
        end_at=engine.time + 1.0,
        on_end=lambda reply, outcome: ends.append(outcome),
    )
    call.start()
    assert ends == ['refused']
    assert not engine.sends


def _take_down(engine, *services):
    """Let all targets of services refuse connections twice."""
    for state in engine.target_registry.states():
        if state.target.service in services:
            for _ in range(2):
                state.record_failure(engine.time, has_connected=False)


def test_call_that_lacks_reachable_services_is_refused_before_any_send():
    engine = fake_engine.FakeEngine()
    for name in ('s1', 's2', 's3'):
        engine.add_target(name, name)
    _take_down(engine, 's1', 's2')
    run = Run(('s1', 's2', 's3'), engine)
    ((reply, outcome),) = run.ends
    assert (reply.status, outcome) == (503, 'refused')
    assert not engine.sends
    assert 0 < float(reply.header(b'retry-after')) <= 1 / 3
    assert run.gather.detail['missing']['s1'] == 'unreachable'


def test_part_of_an_unreachable_service_is_left_out_at_once():
    engine = fake_engine.FakeEngine()
    names = ('s1', 's2', 's3', 's4')
    for name in names:
        engine.add_target(name, name)
    _take_down(engine, 's1')
    run = Run(names, engine)
    for exchange in list(engine.sends):
        stamp = exchange.state.target.id.encode()
        exchange.on_reply(fake_engine.reply(stamp=stamp))
    ((reply, outcome),) = run.ends
    assert (reply.status, outcome) == (200, 'partial')


def test_unreachable_service_is_tried_again_after_a_short_time():
    engine = fake_engine.FakeEngine()
    engine.add_target('s1', 's1')
    _take_down(engine, 's1')
    engine.advance(0.3)
    run = Run(('s1',), engine)
    assert len(engine.sends) == 1
    assert not run.ends


def test_answered_call_sends_nothing_more():
    run = Run(min_coverage=0.5, attempts=3)
    for service in ('s1', 's2'):
        run.answer(service)
    run.engine.advance(0.195)
    assert [outcome for _, outcome in run.ends] == ['partial']
    before = len(run.engine.sends)
    for exchange in run.exchanges('s3'):
        exchange.on_reply(fake_engine.reply(503, Not_Run=b'1'))
    run.engine.advance(0.5)
    assert len(run.engine.sends) == before


def test_late_reply_to_an_answered_call_still_tells_its_latency():
    run = Run(min_coverage=0.5)
    for service in ('s1', 's2'):
        run.answer(service)
    run.engine.advance(0.6)
    exchange = run.exchanges('s3')[0]
    exchange.on_reply(fake_engine.reply(stamp=b's3'))
    assert exchange.state.relative_latency(run.engine.time) > 2.0


# Guards against parts that no bound on the memory took into account.
def test_parts_count_as_held_until_the_call_ends():
    run = Run()
    for name in ('s1', 's2', 's3'):
        run.answer(name, body=b'a' * 160)
    assert run.engine.buffers.replies == 3 * 160
    run.answer('s4', body=b'a' * 160)
    assert run.ends
    assert run.engine.buffers.count == 0
