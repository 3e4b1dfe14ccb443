"""Tests of the weighted choice of a service."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from savorycross.route import route
from savorycross.route import weighted_round_robin


@given(st.lists(st.integers(1, 20), min_size=1, max_size=5))
def test_each_service_gets_its_share(weights):
    shares = [route.Share(f's{i}', w) for i, w in enumerate(weights)]
    balancer = weighted_round_robin.SmoothWeightedRoundRobin(shares)
    rounds = 3 * sum(weights)
    counts = collections.Counter(balancer.choose() for _ in range(rounds))
    for share in shares:
        assert counts[share.service] == 3 * share.weight


def test_service_without_weight_gets_nothing():
    shares = [route.Share('a', 0), route.Share('b', 1)]
    balancer = weighted_round_robin.SmoothWeightedRoundRobin(shares)
    assert {balancer.choose() for _ in range(5)} == {'b'}
