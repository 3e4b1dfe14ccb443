"""The interface through which an entry plans and routes queries."""

import typing

from savorycross.catalogue import catalogue
from savorycross.plan import plan


class QueryRouter(typing.Protocol):
    """Plans queries and finds the owners of replica sets."""

    catalogue: catalogue.Catalogue

    def plan(self, index: str, avoid: frozenset) -> plan.Plan:
        """Return the plan of a query over an index.

        :param avoid: snapshots that the plan must not use.
        """

    def owners(self, replica_set: str) -> list[str]:
        """Return the names of possible owners, the best first."""
