"""A declared service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Targets that answer alike.

    :param max_connections: connections that a target takes from all
        instances together; 0 if it is not said.
    :param cold_s: seconds for which a target is cold after its start.
    :param cold_rate: requests a second that a cold target bears; 0 if it
        is not bounded.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0
