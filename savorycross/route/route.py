"""A rule that maps requests to services."""

import dataclasses
import enum


class Shape(enum.Enum):
    """How requests are distributed over the services of a route.

    ONE sends all requests to one service, WEIGHTED sends each request to
    one of several services by weight, and ALL sends each request to all.
    """

    ONE = 'one'
    WEIGHTED = 'weighted'
    ALL = 'all'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service of a route and its weight.

    :param service: name of the service.
    :param weight: part of the requests relative to the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The rule for requests to one host below one path.

    :param name: name of the route.
    :param host: host name in lower case, without a port.
    :param prefix: path that begins and ends with a slash.
    :param shape: how requests are distributed over the services.
    :param shares: services; all of them answer if the shape is ALL, else
        one does.
    :param is_idempotent: whether requests may run more than once.
    :param timeout_s: longest time until the answer in seconds.
    :param objective_s: latency objective in seconds; answers that meet it
        get full credit.
    :param attempts: largest number of targets that run one request, for
        each service.
    :param priority: urgency; 0 is the most urgent.
    :param record_limit: largest number of records in a merged answer.
    :param min_coverage: smallest share of services in a merged answer.
    :param is_public: whether requests need no key.
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
    is_public: bool = False

    @property
    def services(self):
        """Names of the services."""
        return tuple(share.service for share in self.shares)
