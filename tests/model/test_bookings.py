import pytest

from tests.model import bookings
from tests.model import checking


def test_booking_runs_at_most_once_and_refusals_are_true():
    report = bookings.check()
    checking.assert_proved(report, bookings.INVARIANTS)


def test_booking_can_run():
    never_runs = {'never runs': lambda s: not s['state'].runs}
    report = bookings.check(extra=never_runs)
    assert report['properties']['never runs']['holds'] is False


@pytest.mark.parametrize(
    'guard, invariant',
    [
        ('retries_unknown', 'runs_at_most_once'),
        ('ignores_claim', 'runs_at_most_once'),
        ('runs_for_former_process', 'runs_at_most_once'),
        ('reports_lost_as_not_run', 'runs_at_most_once'),
        ('reports_lost_as_not_run', 'not_run_is_true'),
    ],
)
def test_checker_refutes_a_missing_guard(guard, invariant):
    report = bookings.check(bookings.Mutation(**{guard: True}))
    checking.assert_refuted(report, invariant)
