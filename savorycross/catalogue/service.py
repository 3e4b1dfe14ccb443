"""Declaration of a service: a part of an index with its own shard map."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of an index.

    :param index: name of the index whose versions the service follows.
    :param shards: number of shards in the shard map ``epoch``.
    :param epoch: number of the declared shard map.
    """

    name: str
    index: str
    shards: int
    epoch: int = 1
