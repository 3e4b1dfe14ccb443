"""A service as operators declare it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable targets.

    :param max_connections: connections that a target accepts from all
        instances together; 0 if no limit is declared.
    :param cold_s: seconds for which a target is cold after its start.
    :param cold_rate_per_s: requests a second that a cold target can handle;
        0 if they are not limited.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0
