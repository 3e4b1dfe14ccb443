import pytest

from tests.model import checking
from tests.model import quotas


def test_quota_is_kept_while_tokens_are_lent_and_instances_fail():
    checking.assert_proved(quotas.check(), quotas.INVARIANTS)


@pytest.mark.parametrize(
    'guard',
    [
        'lender_keeps_tokens',
        'late_replies_count',
        'restart_is_full',
        'silence_is_death',
    ],
)
def test_checker_refutes_a_missing_guard(guard):
    report = quotas.check(quotas.Mutation(**{guard: True}))
    checking.assert_refuted(report, 'workspace_gets_its_quota_at_most')
