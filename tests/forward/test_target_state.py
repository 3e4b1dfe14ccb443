"""Tests of what an instance knows of the load and health of a target."""

from savorycross.discovery import target
from savorycross.forward import target_state


def _make():
    entry = target.Target('t', 's', ('10.0.0.1', 80), 'bilbo', 4)
    return target_state.TargetState(entry, None, 0.0)


def test_slow_answers_in_a_row_count_in_full():
    state = _make()
    state.add_latency(10.0, 1.0)
    state.add_latency(10.0, 3.0)
    assert state.relative_latency(3.0) > 6.0


def test_relative_latency_decays_without_samples():
    state = _make()
    state.add_latency(10.0, 1.0)
    state.add_latency(10.0, 3.0)
    later = 3.0 + 4 * target_state.DECAY_HALF_LIFE_S
    assert state.relative_latency(later) < 1.6


def test_failures_in_a_row_eject_for_longer_each_time():
    state = _make()
    assert not state.record_failure(0.0)
    assert state.record_failure(0.0)
    first = state.ejected_until
    assert state.record_failure(1.0)
    assert state.ejected_until - 1.0 > first
    state.record_success(1.0)
    assert not state.record_failure(2.0)


def test_cold_target_gets_no_more_than_its_limit_in_any_second():
    state = _make()
    state.cold_until = 10.0
    sends = []
    for t in range(300):
        if state.count_recent_sends(t / 100) < 3:
            state.record_send(t / 100)
            sends.append(t / 100)
    assert sends
    for start in sends:
        assert sum(start <= t < start + 1.0 for t in sends) <= 3


def test_overdue_send_makes_a_target_suspect():
    state = _make()
    state.add_outstanding('a', 0.0, 0.01)
    assert state.suspicion(0.015) == 0.0
    assert state.suspicion(0.1) > 5
    state.remove_outstanding('a')
    assert state.suspicion(0.1) == 0.0


def test_ejection_is_bounded_after_any_number_of_failures():
    state = _make()
    for _ in range(5000):
        state.record_failure(0.0)
    assert state.ejected_until == target_state.MAX_EJECTION_S


def test_failures_raise_the_failure_rate_and_answers_lower_it():
    state = _make()
    for t in range(4):
        state.record_failure(float(t))
    high = state.failure_rate(3.0)
    assert high > 0.5
    state.record_success(4.0)
    assert state.failure_rate(4.0) < high
    assert state.failure_rate(30.0) < 0.05


def test_sends_before_a_target_became_cold_count_too():
    state = _make()
    for t in (0.0, 0.5, 0.9):
        state.record_send(t)
    state.extend_cold_period(5.0)
    assert state.is_cold(1.2)
    assert state.count_recent_sends(1.2) == 2
    state.extend_cold_period(2.0)
    assert state.is_cold(3.0)
