"""What an instance believes of a target."""

from savorycross.discovery import target
from savorycross.forward import target_state


def _make():
    found = target.Target('t', 's', ('10.0.0.1', 80), 'bilbo', 4)
    return target_state.TargetState(found, None, 0.0)


def test_slow_answers_in_a_row_count_in_full():
    found = _make()
    found.add_latency(10.0, 1.0)
    found.add_latency(10.0, 3.0)
    assert found.slowness(3.0) > 6.0


def test_slowness_fades():
    found = _make()
    found.add_latency(10.0, 1.0)
    found.add_latency(10.0, 3.0)
    later = 3.0 + 4 * target_state.FORGET_S
    assert found.slowness(later) < 1.6


def test_failures_in_a_row_eject_for_longer_each_time():
    found = _make()
    assert not found.record_failure(0.0)
    assert found.record_failure(0.0)
    first = found.ejected_until
    assert found.record_failure(1.0)
    assert found.ejected_until - 1.0 > first
    found.record_success(1.0)
    assert not found.record_failure(2.0)


def test_cold_target_gets_no_more_than_its_share_in_any_second():
    found = _make()
    found.cold_until = 10.0
    sends = [t / 100 for t in range(300) if found.take_cold(t / 100, 3)]
    for start in sends:
        assert sum(start <= t < start + 1.0 for t in sends) <= 3


def test_silent_send_makes_a_target_suspect():
    found = _make()
    found.add_outstanding('a', 0.0, 0.01)
    assert found.suspicion(0.015) == 0.0
    assert found.suspicion(0.1) > 5
    found.remove_outstanding('a')
    assert found.suspicion(0.1) == 0.0


def test_target_may_fail_without_end():
    found = _make()
    for _ in range(5000):
        found.record_failure(0.0)
    assert found.ejected_until == target_state.EJECT_MOST_S


def test_failures_raise_a_rate_that_answers_lower():
    found = _make()
    for t in range(4):
        found.record_failure(float(t))
    high = found.failure_rate(3.0)
    assert high > 0.5
    found.record_success(4.0)
    assert found.failure_rate(4.0) < high
    assert found.failure_rate(30.0) < 0.05
