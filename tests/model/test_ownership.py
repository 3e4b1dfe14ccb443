import pytest

from savorycross.membership import lease
from tests.model import checking
from tests.model import ownership

JOINS = ownership.Bounds(epochs=2, versions=1)
REMOVALS = ownership.Bounds(epochs=3, versions=1, can_join=False)
CATALOGUE_CHANGES = ownership.Bounds(epochs=2, versions=2, can_join=False)


@pytest.mark.parametrize(
    'bounds',
    [JOINS, REMOVALS, CATALOGUE_CHANGES],
    ids=['joins', 'expels', 'applies'],
)
def test_cold_target_has_at_most_one_sender(bounds):
    report = ownership.check(bounds)
    checking.assert_proved(report, ['at_most_one_sender'])


def test_every_instance_can_become_the_sender():
    """The invariant must not hold merely because no instance sends."""
    never_sends = {
        f'{name} never sends': (lambda s, i=i: not s['state'][0].attempts[i])
        for i, name in enumerate(ownership.NAMES)
    }
    report = ownership.check(JOINS, extra=never_sends)
    for name in never_sends:
        assert report['properties'][name]['holds'] is False


def assert_refuted(bounds, mutation=None):
    report = ownership.check(bounds, mutation)
    checking.assert_refuted(report, 'at_most_one_sender')


def test_checker_refutes_a_short_fence(monkeypatch):
    monkeypatch.setattr(lease, 'FENCE_S', lease.CONFIRMATION_S)
    assert_refuted(REMOVALS)


def test_checker_refutes_a_long_confirmation(monkeypatch):
    monkeypatch.setattr(lease, 'CONFIRMATION_S', 2.0)
    assert_refuted(REMOVALS)


def test_checker_refutes_a_proposer_that_keeps_acknowledging():
    mutation = ownership.Mutation(keeps_acknowledging=True)
    assert_refuted(JOINS, mutation)


def test_checker_refutes_a_joiner_that_proposes_itself():
    mutation = ownership.Mutation(anyone_proposes=True)
    assert_refuted(JOINS, mutation)


def test_checker_refutes_owned_targets_kept_over_any_change(monkeypatch):
    monkeypatch.setattr(
        lease.OwnershipLease, '_keeps_owned_targets', lambda *_: True
    )
    assert_refuted(CATALOGUE_CHANGES)


def test_checker_refutes_acknowledgements_under_a_newer_catalogue(
    monkeypatch,
):
    def record_ack(self, name, generation, sent):
        if generation.view_epoch == self._generation.view_epoch:
            self._acks[name] = sent

    monkeypatch.setattr(lease.OwnershipLease, 'record_ack', record_ack)
    assert_refuted(CATALOGUE_CHANGES)
