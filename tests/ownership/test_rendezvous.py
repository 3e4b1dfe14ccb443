import random

import hypothesis
from hypothesis import strategies
import pytest

from savorycross.membership import member
from savorycross.ownership import rendezvous

SETS = [f'set-{n}' for n in range(30)]


def make_members(numbers):
    return tuple(
        member.Member(f'i{n}', f'dc-{n % 3}', '127.0.0.1', 1, 1, 1)
        for n in numbers
    )


@hypothesis.given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 40), min_size=1),
        min_size=1,
        max_size=8,
    )
)
@hypothesis.settings(deadline=None)
def test_corrected_ranks_begin_like_fresh_ones(steps):
    kept = rendezvous.RendezvousOwnership()
    for numbers in steps:
        members = make_members(sorted(numbers))
        for name in SETS:
            for centre in (None, 'dc-1'):
                found = kept.rank(name, centre, members)
                fresh = rendezvous.rank(name, members, centre)
                assert found == fresh[: len(found)]
                assert len(found) >= min(rendezvous.MIN_KEPT, len(members))


def test_instance_that_leaves_moves_only_its_own_sets():
    members = make_members(range(20))
    ownership = rendezvous.RendezvousOwnership()
    before = {n: ownership.rank(n, None, members)[0] for n in SETS}
    remaining = members[1:]
    for name in SETS:
        owner = ownership.rank(name, None, remaining)[0]
        if before[name] != members[0]:
            assert owner == before[name]


def test_sets_spread_evenly():
    members = make_members(range(4))
    counts = dict.fromkeys(members, 0)
    for number in range(4000):
        counts[rendezvous.rank(f'set-{number}', members)[0]] += 1
    assert min(counts.values()) > 850


def test_change_costs_a_hash_for_each_set_not_for_each_instance(monkeypatch):
    members = make_members(range(400))
    ownership = rendezvous.RendezvousOwnership()
    for name in SETS:
        ownership.rank(name, None, members[:-1])
    calls = []
    sort_key = rendezvous.sort_key
    monkeypatch.setattr(
        rendezvous,
        'sort_key',
        lambda *args: calls.append(1) or sort_key(*args),
    )
    for name in SETS:
        ownership.rank(name, None, members)
    assert len(calls) <= len(SETS) * (2 + rendezvous.MAX_KEPT)


@pytest.mark.parametrize('seed', range(3))
def test_order_of_instances_does_not_matter(seed):
    members = list(make_members(range(9)))
    expected = rendezvous.rank('set', members)
    random.Random(seed).shuffle(members)
    assert rendezvous.rank('set', members) == expected
