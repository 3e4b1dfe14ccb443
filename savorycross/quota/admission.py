"""The answer to a request that asks whether its workspace has a token."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What becomes of a request: it may run, waits for a token, or not."""

    ADMITTED = 'admitted'
    WAIT = 'wait'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """What becomes of a request of a workspace.

    :param at: runtime clock time until which it waits, or at which a refused
        caller is to return.
    """

    outcome: Outcome
    at: float = 0.0


ADMITTED = Admission(Outcome.ADMITTED)
