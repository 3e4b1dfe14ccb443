"""Tests of the state that all calls of an instance share."""

import dataclasses

from savorycross.forward import engine
from savorycross.overload import shares
from savorycross.route import service
from tests.forward import fake_engine


def test_budget_of_a_service_is_dropped_after_an_idle_window():
    shared = fake_engine.FakeEngine()
    budget = shared.budget('s1')
    budget.deposit(shared.now())
    assert budget.try_withdraw_retry(shared.now())
    window_s = shared.settings.extra_send_limits.window_s
    shared.advance(window_s / 2)
    shared.prune(shared.now())
    assert shared.budget('s1') is budget
    shared.advance(window_s)
    shared.prune(shared.now())
    assert shared.budget('s1') is not budget


def test_budget_of_a_successor_is_kept_until_its_slack_is_full():
    shared = fake_engine.FakeEngine(is_first_start=False)
    budget = shared.budget('s1')
    shared.advance(shared.settings.extra_send_limits.window_s / 2)
    shared.prune(shared.now())
    assert shared.budget('s1') is budget


def test_exhausted_budgets_are_counted():
    shared = fake_engine.FakeEngine(slack=1.0)
    budget = shared.budget('s1')
    shared.budget('s2')
    assert shared.count_exhausted_budgets(shared.now()) == 0
    assert budget.try_withdraw_retry(shared.now())
    assert shared.count_exhausted_budgets(shared.now()) == 1


def test_failures_are_counted_by_service_and_cause_up_to_a_bound():
    shared = fake_engine.FakeEngine()
    for n in range(engine.MAX_COUNTED_SERVICES + 5):
        shared.count_failure(f's{n}', 'connect: refused by 10.0.0.1')
    shared.count_failure('s1', 'reset')
    counters = shared.metrics.counters
    prefix = 'savorycross_send_failures'
    assert counters[prefix + '{cause="connect",service="s1"}'] == 1
    assert counters[prefix + '{cause="reset",service="s1"}'] == 1
    assert counters[prefix + '{cause="connect",service="other"}'] == 5


def test_former_shares_are_kept_only_while_they_bound_sends():
    shared = fake_engine.FakeEngine()
    for number in range(100):
        senders = frozenset({'entry-1', f'entry-{number + 2}'})
        shared.set_shares(shares.LimitShares('entry-1', senders))
        shared.advance(1.0)
    assert len(shared._views.binding(shared.now())) <= 4


# Guards against a target that crashed, as it became cold again while it ran
# and went on to get full load.
def test_running_target_that_becomes_cold_again_is_limited():
    engine = fake_engine.FakeEngine(is_first_start=False)
    engine.target_registry.set_services(
        {'s': service.Service('s', cold_rate_per_s=2.0)}
    )
    engine.add_target('a', 's', born=1)
    engine.advance(3.0)
    (state,) = engine.target_registry.states()
    assert not state.is_cold(engine.time)
    known = state.target
    cold = dataclasses.replace(known, warmup_s=3.0)
    engine.target_registry.put(cold, engine.time)
    cold_at = engine.time
    for _ in range(40):
        fake_engine.start_call(engine)
        engine.advance(0.01)
    assert len(engine.sends) == 8
    engine.target_registry.put(known, engine.time)
    assert state.is_cold(cold_at + 2.9)
    assert not state.is_cold(cold_at + 3.1)
