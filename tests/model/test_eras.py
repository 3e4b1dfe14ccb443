import pytest

from tests.model import checking
from tests.model import eras


def test_no_version_is_missed_or_lost_when_the_store_is_restored():
    checking.assert_proved(eras.check(), eras.INVARIANTS)


@pytest.mark.parametrize(
    'guard, invariant',
    [
        ('ignores_eras', 'uses_what_the_store_holds'),
        ('watches_across_eras', 'uses_what_the_store_holds'),
        ('takes_older_values', 'keeps_what_was_in_force'),
    ],
)
def test_checker_refutes_a_missing_guard(guard, invariant):
    report = eras.check(eras.Mutation(**{guard: True}))
    checking.assert_refuted(report, invariant)
