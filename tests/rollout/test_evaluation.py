"""Good and bad versions on a simulated fleet."""

import random

import pytest

from savorycross.rollout import evaluation
from savorycross.rollout import order
from savorycross.rollout import sequential_test
from savorycross.rollout import sums
from tests.rollout import simulated_fleet

FAULTS = (
    simulated_fleet.Failing,
    simulated_fleet.SlowLater,
    simulated_fleet.SlowUnderLoad,
    simulated_fleet.FailingRoute,
)


# Guards against a comparison that misses a way of being bad, or needs more
# requests than the bound allows.
def test_bad_versions_are_reverted_within_the_bound():
    reverted = 0
    for fault in FAULTS:
        for seed in range(5):
            fleet = simulated_fleet.Fleet(seed, fault).run()
            is_reverted = fleet.record.state is order.State.REVERTED
            is_bounded = fleet.new_sends <= fleet.allowed
            reverted += is_reverted and is_bounded and not fleet.late_sends
    assert reverted >= 19


# Guards against a good version that is reverted by chance, or as all targets
# are slow for a while.
def test_good_versions_are_complete_by_the_deadline():
    for seed in range(20):
        fleet = simulated_fleet.Fleet(
            seed,
            simulated_fleet.Version,
            trouble=lambda now: 6.0 if 20 < now < 35 else 1.0,
        ).run()
        assert fleet.record.state is order.State.COMPLETE
        assert fleet.ended_at <= fleet.order.over_s


# Guards against a test that looks so often that it finds a difference where
# there is none beyond the margin.
@pytest.mark.parametrize('rate', [0.0, 0.02, 0.3])
def test_equal_rates_seldom_give_evidence(rate):
    rng = random.Random(1)
    alarms = 0
    for _ in range(200):
        rates = sequential_test.Rates(0.005, (0.03, 0.15))
        evidence = sequential_test.Evidence(60, 2)
        highest = 0.0
        for _ in range(60):
            old = sum(rng.random() < rate for _ in range(30))
            new = sum(rng.random() < rate for _ in range(9))
            evidence.multiply(rates.add_block(30, old, 9, new))
            highest = max(highest, evidence.log_average)
        alarms += highest >= 3.0
    assert alarms <= 10


def test_routes_beyond_the_limit_are_not_kept():
    tested = evaluation.Evaluation(60.0)
    for number in range(evaluation.MAX_STRATA + 5):
        tested.add(f'r{number}', *_make_pair())
    tested.close_block()
    assert tested.new_answers == evaluation.MAX_STRATA


def _make_pair():
    return sums.Sums(1, 0, {3: 1}), sums.Sums(1, 0, {3: 1})
