"""A version of what operators declare."""

import dataclasses

from savorycross.route import route
from savorycross.route import service
from savorycross.route import table
from savorycross.wire import server


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Routes, services and limits of one version.

    :param services: Service by name.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    limits: server.Limits
    table: table.RouteTable


def make_configuration(version, routes, services, limits):
    """Return a Configuration with the table of its routes."""
    return Configuration(
        version,
        tuple(routes),
        {s.name: s for s in services},
        limits,
        table.RouteTable(routes),
    )
