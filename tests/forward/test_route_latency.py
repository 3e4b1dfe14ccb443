"""Tests of the hedge delay and of the estimate of earlier tries."""

from savorycross.forward import route_latency


def _make(objective_s, seconds, n=200):
    latency = route_latency.RouteLatency(objective_s)
    for i in range(n):
        latency.add(seconds[i % len(seconds)], now=1.0)
    return latency.hedge_delay(2.0)


def test_hedge_is_late_while_targets_are_fast():
    delay = _make(0.2, [0.02])
    assert 0.05 < delay <= route_latency.LATEST_HEDGE_SHARE * 0.2


def test_hedge_leaves_time_for_its_own_answer():
    delay = _make(0.1, [0.02, 0.03])
    assert delay + 2 * 0.03 <= 0.1


def test_hedge_of_slow_targets_goes_out_early_enough():
    assert _make(0.1, [0.05]) <= 0.05


def test_few_slow_targets_do_not_delay_hedges():
    assert _make(0.1, [0.01] * 8 + [0.5] * 2) <= 0.05


def test_first_hedge_needs_no_samples():
    assert 0 < route_latency.RouteLatency(0.2).hedge_delay(0.0) < 0.1


def test_time_of_earlier_tries_follows_from_what_is_left():
    latency = route_latency.RouteLatency(0.2)
    assert latency.estimate_elapsed_s(2.0) == 0.0
    assert latency.estimate_elapsed_s(1.5) == 0.5
    assert latency.estimate_elapsed_s(None) == 0.0
