"""A rule that sends requests to services."""

import dataclasses
import enum


class Shape(enum.Enum):
    """How many services a request reaches."""

    ONE = 'one'
    WEIGHTED = 'weighted'
    ALL = 'all'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path.

    :param prefix: path that begins and ends with a slash.
    :param shares: services; all of them answer if the shape is ALL, else
        one does.
    :param is_idempotent: whether requests may run more than once.
    :param timeout_s: longest time until the answer.
    :param objective_s: latency objective, for full credit.
    :param attempts: largest number of targets that run one request, for
        each service.
    :param priority: urgency; 0 goes first.
    :param record_limit: number of records in a merged answer.
    :param min_coverage: least share of services in a merged answer.
    """

    name: str
    host: str
    prefix: str
    shape: Shape
    shares: tuple[Share, ...]
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    attempts: int = 2
    priority: int = 0
    record_limit: int = 0
    min_coverage: float = 1.0

    @property
    def services(self):
        """Names of the services."""
        return tuple(share.service for share in self.shares)
