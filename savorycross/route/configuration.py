"""The configuration that operators declare."""

import dataclasses

from savorycross.route import route
from savorycross.route import service
from savorycross.route import table
from savorycross.wire import server
from savorycross.workspace import directory


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the routes, services and limits.

    :param version: number that grows with each change.
    :param services: Service by name.
    :param limits: limits of callers' connections and requests.
    :param table: lookup table of the routes.
    :param workspaces: WorkspaceDirectory; empty if requests need no keys.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    limits: server.Limits
    table: table.RouteTable
    workspaces: directory.WorkspaceDirectory = directory.NO_WORKSPACES


def make_configuration(
    version, routes, services, limits, workspaces=directory.NO_WORKSPACES
):
    """Return a Configuration with a lookup table of its routes.

    :param routes: Route objects.
    :param services: Service objects.
    :param limits: limits of callers' connections and requests.
    :param workspaces: WorkspaceDirectory.
    """
    return Configuration(
        version,
        tuple(routes),
        {s.name: s for s in services},
        limits,
        table.RouteTable(routes),
        workspaces,
    )
