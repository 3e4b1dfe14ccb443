"""Messages to the task of a relay."""

import dataclasses

from savorycross.peer import messages
from savorycross.plan import inventory
from savorycross.relay import job


@dataclasses.dataclass(frozen=True, slots=True)
class PartReceived:
    """An entry asks this instance to serve a part of a query.

    :param sender: name of the entry's instance.
    """

    sender: str
    part: messages.Part


@dataclasses.dataclass(frozen=True, slots=True)
class PartCancelled:
    """An entry no longer needs a part.

    :param sender: name of the entry's instance.
    """

    sender: str
    part_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a target has ended."""

    attempt_id: int
    result: job.AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInventoryReceived:
    """A target has sent its inventory to this instance.

    :param sent_at: runtime clock time at which it was asked for.
    """

    inventory: inventory.TargetInventory
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInventoryReceived:
    """A peer has sent its inventory of a target.

    The inventory itself is in the InventoryTable.
    """

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """An idle connection to a target has ended.

    :param boot: identity of the process that was connected, or an empty
        string.
    """

    target: str
    boot: str


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentChanged:
    """The view, the catalogue or the availability of targets has changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Recheck:
    """Ownership may have become certain: queued jobs may be sent now."""
