"""Pruning of records by a delegate keeps the merged answer the same."""

import hypothesis
from hypothesis import strategies

from savorycross.merge import records

_records = strategies.binary(min_size=1, max_size=1).map(lambda b: b * 16)
_bodies = strategies.lists(
    strategies.lists(_records, max_size=6).map(b''.join), max_size=5
)


@hypothesis.given(_bodies, _bodies, strategies.integers(0, 8))
def test_merge_of_pruned_bodies_is_that_of_whole_ones(batch, others, limit):
    pruned = records.prune_records(batch, limit)
    assert records.merge_records(pruned + others, limit) == (
        records.merge_records(batch + others, limit)
    )


@hypothesis.given(_bodies, strategies.integers(0, 8))
def test_pruned_bodies_hold_no_more_than_the_limit(bodies, limit):
    pruned = records.prune_records(bodies, limit)
    assert sum(map(len, pruned)) <= limit * records.RECORD_BYTES
