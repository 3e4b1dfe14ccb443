"""The load of an event loop under a clock that the test advances."""

import pytest

from savorycross.metrics import loop_load


def _run(waited_s, worked_s, rounds=200):
    """Let a loop wait and work in turn; return its load."""
    time = [0.0]
    load = loop_load.LoopLoad(lambda: time[0])
    for number in range(rounds):
        load.before_io_wait(1.0)
        time[0] += waited_s
        load.after_io_wait(1.0)
        time[0] += worked_s
        if number % 5 == 0:
            load.sample(time[0])
    return load.value


@pytest.mark.parametrize('worked_s', [0.0, 0.02, 0.1])
def test_load_is_the_part_of_the_time_that_is_not_waited(worked_s):
    expected = worked_s / (worked_s + 0.08)
    assert _run(0.08, worked_s) == pytest.approx(expected, abs=0.01)


def test_loop_that_never_waits_is_full():
    assert _run(0.0, 0.1) == pytest.approx(1.0, abs=0.01)


def _delay(load, time, delay_s, is_waiting):
    """Let a loop run late once, while it waits or works."""
    load.before_io_wait(0.05)
    time[0] += 0.05 + delay_s * is_waiting
    load.after_io_wait(0.05)
    time[0] += delay_s * (not is_waiting)
    load.before_io_wait(0.05)


# Guards against an instance that plans as if it ran all the time, while its
# machine stops it in turn.
@pytest.mark.parametrize('is_waiting', [True, False])
def test_lag_is_the_delay_that_comes_again(is_waiting):
    time = [0.0]
    load = loop_load.LoopLoad(lambda: time[0])
    for delay_s in (0.09, 0.02, 0.1, 0.0):
        _delay(load, time, delay_s, is_waiting)
        load.sample(time[0])
    assert load.lag_s == pytest.approx(0.09)
    _delay(load, time, 0.3, is_waiting)
    assert load.lag_s == pytest.approx(0.1)
    load.sample(time[0] + loop_load.LAG_WINDOW_S + 0.1)
    assert load.lag_s == 0.0


# Guards against a stop that refuses callers for seconds, as the machine has
# stood still once.
def test_single_delay_is_no_lag():
    time = [0.0]
    load = loop_load.LoopLoad(lambda: time[0])
    for delay_s in (0.002, 2.0, 0.002):
        _delay(load, time, delay_s, is_waiting=True)
        load.sample(time[0])
    assert load.lag_s == pytest.approx(0.002)


def test_event_before_the_end_of_a_wait_is_no_lag():
    time = [0.0]
    load = loop_load.LoopLoad(lambda: time[0])
    for _ in range(2):
        load.before_io_wait(5.0)
        time[0] += 0.3
        load.after_io_wait(5.0)
        load.sample(time[0])
    assert load.lag_s == 0.0
