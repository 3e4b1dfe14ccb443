"""Coverage: how many shards of a query answered, and which did not."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Missed:
    """A shard without an answer.

    :param shard: shard key.
    :param cause: a ``savorycross.relay.job.Cause``, as text.
    """

    shard: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """The shards of a query that were asked, answered and missed.

    :param asked: number of shards that belong to the query.
    :param answered: number of shards that answered.
    :param missed: the shards without an answer.

    >>> Coverage(4, 3, (Missed('s/1', 'deadline'),)).ratio
    0.75
    """

    asked: int
    answered: int
    missed: tuple[Missed, ...] = ()

    @property
    def ratio(self):
        """Ratio of answered to asked shards; 0 if none were asked."""
        return self.answered / self.asked if self.asked else 0.0
