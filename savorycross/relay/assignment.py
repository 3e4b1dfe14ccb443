"""The replica sets that are assigned to this instance."""

import dataclasses
import typing

from savorycross.catalogue import catalogue
from savorycross.catalogue import state


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The replica sets that this instance serves, and their targets.

    :param catalogue: the catalogue in force.
    :param owned: names of the replica sets.
    :param states: State by target name.
    """

    catalogue: catalogue.Catalogue
    owned: frozenset[str]
    states: dict[str, state.State]


class AssignmentSource(typing.Protocol):
    """Provides a relay with its assignment."""

    def current_assignment(self) -> Assignment:
        """Return the current Assignment."""

    def may_send_cold(self, target: str, now: float) -> bool:
        """Return whether requests to a target that may be cold are allowed.

        :param target: name of the target.
        :param now: runtime clock, seconds.
        """
