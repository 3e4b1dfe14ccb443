"""The interface through which bookings find owners and ticket issuers."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The shard that serves a booking, and the replica set that holds it."""

    replica_set: str
    shard: str
    priority: int


class BookingRouter(typing.Protocol):
    """Finds the owners for a booking, and the issuer of a ticket."""

    def route(self, workload: str, key: object) -> list[tuple[str, Placement]]:
        """Return (owner, Placement) pairs for a booking, the best first.

        :param workload: name of the workload.
        :param key: value whose hash chooses the replica set.
        """

    def is_running(self, name: str, incarnation: int) -> bool:
        """Return whether a process of an instance may still be running."""
