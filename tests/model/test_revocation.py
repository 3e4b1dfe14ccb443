import pytest

from tests.model import checking
from tests.model import revocation


def test_no_withdrawn_key_works_later_than_the_bound():
    report = revocation.check()
    checking.assert_proved(report, [revocation.INVARIANT])


@pytest.mark.parametrize(
    'guard',
    ['counts_from_the_answer', 'ignores_the_age', 'continues_across_eras'],
)
def test_checker_refutes_a_missing_guard(guard):
    report = revocation.check(revocation.Mutation(**{guard: True}))
    checking.assert_refuted(report, revocation.INVARIANT)
