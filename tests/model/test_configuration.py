import pytest

from tests.model import checking
from tests.model import configuration


def test_configuration_never_reverts_and_operators_are_told_truly():
    report = configuration.check()
    checking.assert_proved(report, configuration.INVARIANTS)


def test_two_versions_can_be_accepted():
    never_two_versions = {'never two': lambda s: s['state'].version < 2}
    report = configuration.check(extra=never_two_versions)
    assert report['properties']['never two']['holds'] is False


@pytest.mark.parametrize(
    'guard, invariant',
    [
        ('writes_unconditionally', 'one_content_for_each_version'),
        ('adopts_any_version', 'never_reverts'),
        ('trusts_lost_answers', 'operators_are_told_truly'),
        ('conflict_is_a_race', 'operators_are_told_truly'),
    ],
)
def test_checker_refutes_a_missing_guard(guard, invariant):
    report = configuration.check(configuration.Mutation(**{guard: True}))
    checking.assert_refuted(report, invariant)
