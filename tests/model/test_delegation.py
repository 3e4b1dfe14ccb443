import pytest

from tests.model import checking
from tests.model import delegation


def test_answer_is_the_merge_of_the_parts_it_names():
    report = delegation.check()
    checking.assert_proved(report, delegation.INVARIANTS)


@pytest.mark.parametrize(
    'guard', ['keeps_hedged_parts', 'decides_within_a_message']
)
def test_checker_refutes_a_missing_guard(guard):
    report = delegation.check(delegation.Mutation(**{guard: True}))
    checking.assert_refuted(report, 'merges_what_it_names')
