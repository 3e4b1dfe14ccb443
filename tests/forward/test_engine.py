"""What all calls of an instance share."""

from savorycross.forward import engine
from tests.forward import fake_engine


def test_budget_of_a_service_is_forgotten_after_a_quiet_window():
    found = fake_engine.FakeEngine()
    budget = found.budget('s1')
    budget.earn(found.now())
    assert budget.take_retry(found.now())
    window_s = found.site.extra_send_limits.window_s
    found.advance(window_s / 2)
    found.prune(found.now())
    assert found.budget('s1') is budget
    found.advance(window_s)
    found.prune(found.now())
    assert found.budget('s1') is not budget


def test_budget_of_a_successor_is_kept_until_it_is_whole():
    found = fake_engine.FakeEngine(is_first_start=False)
    budget = found.budget('s1')
    found.advance(found.site.extra_send_limits.window_s / 2)
    found.prune(found.now())
    assert found.budget('s1') is budget


def test_spent_budgets_are_counted():
    found = fake_engine.FakeEngine(slack=1.0)
    budget = found.budget('s1')
    found.budget('s2')
    assert found.count_spent(found.now()) == 0
    assert budget.take_retry(found.now())
    assert found.count_spent(found.now()) == 1


def test_failures_are_counted_by_service_and_cause_up_to_a_bound():
    found = fake_engine.FakeEngine()
    for n in range(engine.MAX_COUNTED_SERVICES + 5):
        found.count_failure(f's{n}', 'connect: refused by 10.0.0.1')
    found.count_failure('s1', 'reset')
    counters = found.metrics.counters
    prefix = 'savorycross_send_failures'
    assert counters[prefix + '{cause="connect",service="s1"}'] == 1
    assert counters[prefix + '{cause="reset",service="s1"}'] == 1
    assert counters[prefix + '{cause="connect",service="other"}'] == 5
