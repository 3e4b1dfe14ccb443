"""Each scenario here must fail when its mechanism is disabled."""

import math
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
from savorycross.rate import limiter as rate_limiter
from savorycross.rate import ownership
from savorycross.relay import job
from savorycross.relay import limiter
from savorycross.relay import relay
from savorycross.relay import replica
from tests.scenarios import scenario_context

FOLDER = pathlib.Path(__file__).parent / 'features'


def keep_records_when_a_query_restarts(monkeypatch):
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


def skip_reset_to_cold(monkeypatch):
    monkeypatch.setattr(
        limiter.ConcurrencyLimiter, 'reset_to_cold', lambda self: None
    )


def ignore_declared_states(monkeypatch):
    monkeypatch.setattr(
        catalogue.Catalogue, 'state_of', lambda *_: state.State.OPEN
    )


def report_lost_as_not_run(monkeypatch):
    monkeypatch.setattr(
        job, 'NOT_RUN_STATUSES', job.NOT_RUN_STATUSES | {job.Status.LOST}
    )


def rerun_bookings_with_unknown_outcome(monkeypatch):
    begin = ledger.Ledger.begin

    def broken(self, number, issued, now):
        entry = self._entries.get(number)
        if entry is not None and entry.outcome is ledger.Outcome.UNKNOWN:
            entry.outcome = ledger.Outcome.RUNNING
            return ledger.Decision(ledger.Step.RUN)
        return begin(self, number, issued, now)

    monkeypatch.setattr(ledger.Ledger, 'begin', broken)


def claim_keys_without_the_store(monkeypatch):
    async def broken(self, workload, key, ticket):
        return ticket

    monkeypatch.setattr(idempotency_keys.IdempotencyKeys, 'claim', broken)


def ignore_draining(monkeypatch):
    monkeypatch.setattr(
        replica.Replica,
        'is_open',
        property(lambda self: self.state is state.State.OPEN),
    )


def ignore_pushes(monkeypatch):
    monkeypatch.setitem(
        instance._HANDLERS, instance.messages.Push, lambda *_: None
    )


def send_at_any_rate(monkeypatch):
    monkeypatch.setattr(
        rate_limiter.RateLimiter, 'may_send', lambda *_, **__: True
    )
    monkeypatch.setattr(
        rate_limiter.RateLimiter, 'expect', lambda *_: math.inf
    )


def ask_for_inventories_at_any_rate(monkeypatch):
    monkeypatch.setattr(relay.Relay, 'check_interval_s', lambda *_: 0.0)


def send_at_the_whole_rate_without_ownership(monkeypatch):
    monkeypatch.setattr(ownership, 'UNCERTAIN_PART', 1.0)


MUTATIONS = [
    (
        'p01_one_snapshot',
        'a version is removed between two shards of one query',
        keep_records_when_a_query_restarts,
    ),
    ('p02_true_coverage', 'a whole service is frozen', hide_missed_shards),
    (
        'p03_cold_bound',
        'a target restarts under full load',
        skip_reset_to_cold,
    ),
    (
        'p04_data_centre_out',
        'a data centre is taken out under load and opened again',
        ignore_declared_states,
    ),
    (
        'p06_not_run_is_true',
        'the reply of a target is lost after it ran the booking',
        report_lost_as_not_run,
    ),
    (
        'p07_at_most_once',
        'a booking with a lost reply is retried at other instances',
        rerun_bookings_with_unknown_outcome,
    ),
    (
        'p07_at_most_once',
        'two callers race with one key',
        claim_keys_without_the_store,
    ),
    (
        'p08_leaving_target',
        'the target itself reports that it is draining',
        ignore_draining,
    ),
    (
        'p10_configuration',
        'an instance restarts during the outage',
        ignore_pushes,
    ),
    (
        'p11_stated_rates',
        'one replica states a limit under load',
        send_at_any_rate,
    ),
    (
        'p11_stated_rates',
        'idle targets are asked for their inventory within their limits',
        ask_for_inventories_at_any_rate,
    ),
    (
        'p11_stated_rates',
        'views differ because an instance is isolated while the store is down',
        send_at_the_whole_rate_without_ownership,
    ),
]


def _bind(feature, title, mutate):
    """Return a test that the scenario fails under a mutation."""

    @pytest_bdd.scenario(str(FOLDER / f'{feature}.feature'), title)
    def test(script, monkeypatch):
        mutate(monkeypatch)
        with pytest.raises(BaseExceptionGroup) as caught:
            scenario_context.run_scenario(script)
        assert caught.group_contains(AssertionError)

    return test


for _feature, _title, _mutate in MUTATIONS:
    globals()[f'test_{_feature[:3]}_{_mutate.__name__}_is_caught'] = _bind(
        _feature, _title, _mutate
    )
