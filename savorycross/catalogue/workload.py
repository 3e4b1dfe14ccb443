"""Declaration of a workload: a kind of request and its policy."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Whether the requests of a workload are queries or bookings."""

    QUERY = 'query'
    BOOKING = 'booking'


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """A kind of request, the index that it uses and its policy.

    :param index: name of the index.
    :param priority: priority from 0, served first, to 3, served last.
    :param deadline_ms: deadline in milliseconds of a request that states
        none.
    :param early_ms: milliseconds after which an answer with a coverage of at
        least ``min_coverage`` is returned at once; with 0, the query waits
        for the missing shards until its deadline.
    :param min_coverage: minimum coverage, as a ratio from 0 to 1.
    """

    name: str
    kind: Kind
    index: str
    priority: int
    deadline_ms: int
    early_ms: int = 0
    min_coverage: float = 0.0
