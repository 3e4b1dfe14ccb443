"""Declaration of a target: a process that holds shards."""

import dataclasses

from savorycross.catalogue import state


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target and its limits.

    :param replica_set: name of the replica set; its targets hold the same
        shards and have one owner instance.
    :param host: IP address.
    :param port: TCP port.
    :param shards: numbers of the shards that the target holds under the
        declared shard map.
    :param slots: number of requests that the target runs at once.
    :param connections: number of connections that the target accepts.
    :param cold_slots: number of requests that the target can run at once
        during a cold start.
    :param schedule: scheduled availability.
    """

    name: str
    service: str
    replica_set: str
    data_centre: str
    host: str
    port: int
    shards: tuple[int, ...]
    slots: int
    connections: int
    cold_slots: int = 1
    schedule: state.Schedule = state.Schedule()
