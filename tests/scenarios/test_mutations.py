"""Each scenario here must fail once its mechanism is broken."""

import pathlib

import pytest
import pytest_bdd

from savorycross.booking import idempotency_keys
from savorycross.booking import ledger
from savorycross.catalogue import catalogue
from savorycross.catalogue import state
from savorycross.daemon import instance
from savorycross.entry import query_run
from savorycross.merge import coverage
from savorycross.merge import merger
from savorycross.relay import job
from savorycross.relay import limiter
from savorycross.relay import replica
from tests.scenarios import world

FOLDER = pathlib.Path(__file__).parent / 'features'


def keep_records_over_a_restart(monkeypatch):
    start = query_run.QueryRun.start

    def broken(self, now):
        kept = self.merger
        actions = start(self, now)
        self.merger = kept or self.merger
        return actions

    monkeypatch.setattr(query_run.QueryRun, 'start', broken)


def hide_missed_shards(monkeypatch):
    def broken(self):
        return coverage.Coverage(self._answered, self._answered)

    monkeypatch.setattr(merger.Merger, 'coverage', broken)


def stay_warm(monkeypatch):
    monkeypatch.setattr(
        limiter.ConcurrencyLimiter, 'reset_to_cold', lambda self: None
    )


def ignore_declared_states(monkeypatch):
    monkeypatch.setattr(
        catalogue.Catalogue, 'state_of', lambda *_: state.State.OPEN
    )


def take_lost_for_not_run(monkeypatch):
    monkeypatch.setattr(
        job, 'NOT_RUN_STATUSES', job.NOT_RUN_STATUSES | {job.Status.LOST}
    )


def run_unknown_again(monkeypatch):
    begin = ledger.Ledger.begin

    def broken(self, number, issued, now):
        entry = self._entries.get(number)
        if entry is not None and entry.outcome is ledger.Outcome.UNKNOWN:
            entry.outcome = ledger.Outcome.RUNNING
            return ledger.Decision(ledger.Step.RUN)
        return begin(self, number, issued, now)

    monkeypatch.setattr(ledger.Ledger, 'begin', broken)


def claim_without_the_store(monkeypatch):
    async def broken(self, workload, key, ticket):
        return ticket

    monkeypatch.setattr(idempotency_keys.IdempotencyKeys, 'claim', broken)


def ignore_draining(monkeypatch):
    monkeypatch.setattr(
        replica.Replica,
        'is_open',
        property(lambda self: self.state is state.State.OPEN),
    )


def tell_newcomers_nothing(monkeypatch):
    monkeypatch.setitem(
        instance._HANDLERS, instance.messages.Push, lambda *_: None
    )


MUTATIONS = [
    (
        'p01_one_snapshot',
        'a version vanishes between two shards of one query',
        keep_records_over_a_restart,
    ),
    ('p02_true_coverage', 'a whole service is frozen', hide_missed_shards),
    ('p03_cold_bound', 'a target restarts under full load', stay_warm),
    (
        'p04_data_centre_out',
        'taken out under load and back again',
        ignore_declared_states,
    ),
    (
        'p06_not_run_is_true',
        'a target loses its answer after it ran the booking',
        take_lost_for_not_run,
    ),
    (
        'p07_at_most_once',
        'a lost answer is asked for again elsewhere',
        run_unknown_again,
    ),
    (
        'p07_at_most_once',
        'two callers race with one key',
        claim_without_the_store,
    ),
    (
        'p08_leaving_target',
        'the target itself says that it drains',
        ignore_draining,
    ),
    (
        'p10_configuration',
        'an instance restarts during the outage',
        tell_newcomers_nothing,
    ),
]


def _bind(feature, title, mutate):
    """Make a test that the scenario fails under a mutation."""

    @pytest_bdd.scenario(str(FOLDER / f'{feature}.feature'), title)
    def test(script, monkeypatch):
        mutate(monkeypatch)
        with pytest.raises(BaseExceptionGroup) as caught:
            world.play(script)
        assert caught.group_contains(AssertionError)

    return test


for _feature, _title, _mutate in MUTATIONS:
    globals()[f'test_{_feature[:3]}_{_mutate.__name__}_is_caught'] = _bind(
        _feature, _title, _mutate
    )
