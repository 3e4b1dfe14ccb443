import pytest

from tests.model import checking
from tests.model import rates


def test_target_gets_its_rate_while_tokens_are_lent_and_replies_lost():
    checking.assert_proved(rates.check(), rates.INVARIANTS)


@pytest.mark.parametrize(
    'guard', ['lender_keeps_tokens', 'copies_of_replies_count']
)
def test_checker_refutes_a_missing_guard(guard):
    report = rates.check(rates.Mutation(**{guard: True}))
    checking.assert_refuted(report, 'target_gets_its_rate_at_most')
