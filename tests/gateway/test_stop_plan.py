"""The phases of a planned stop."""

import pytest

from savorycross.gateway import stop_plan


def test_calm_machine_serves_until_half_a_second_before_the_kill():
    plan = stop_plan.plan_stop(100.0, 6.0, 0.002)
    assert plan.end_at == pytest.approx(105.5, abs=0.02)


# Guards against an end that takes as long on a slowed machine as on others,
# so that the process is killed with requests in progress.
@pytest.mark.parametrize('lag_s', [0.05, 0.1, 0.45])
def test_time_for_the_end_grows_with_the_lag(lag_s):
    plan = stop_plan.plan_stop(0.0, 6.0, lag_s)
    assert plan.end_at < plan.close_at
    assert plan.close_at - plan.end_at >= 2 * lag_s
    assert plan.drain_s == plan.close_at - plan.end_at
    assert 6.0 - plan.close_at >= 3 * lag_s


@pytest.mark.parametrize('grace_s', [0.0, 0.3, 6.0])
def test_half_of_the_grace_period_is_left_whatever_the_lag(grace_s):
    plan = stop_plan.plan_stop(0.0, grace_s, 30.0)
    assert plan.end_at == pytest.approx(grace_s / 2)
    assert plan.close_at <= grace_s
