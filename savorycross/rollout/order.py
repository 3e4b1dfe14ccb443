"""Orders of roll-outs, what the store says of them, and their schedule.

Load pattern: a service gets the same requests throughout, while its targets
of a new version replace those of the old one. The schedule spends little of
the exposure early, to find versions that are bad from the start or later,
saves the rest for a burst near the full load, and moves as late as it can,
so that most faults show while few requests get the new version.

Source of the method: staged canary releases (Davidovic and Beyer, "Canary
Analysis Service", ACM Queue 16(1), 2018).
"""

import dataclasses
import enum

# Part of the allowed share that the new version gets before the burst.
EARLY_PART = 0.35
# Part of the slack that instances share out at the beginning.
CREDIT_PART = 0.4
# Part of the time after which the new version gets what was saved.
BURST_PART = 0.55
# Parts of the requests that the new version gets when the move begins, and at
# most while old targets are still needed for the comparison. It grows in
# between, as evidence takes time to arrive.
FIRST_PART = 0.35
MAJORITY = 0.8
# Part of the time, with a lower bound in seconds, for the move at the end.
MOVE_PART = 0.25
MIN_MOVE_S = 6.0
MAX_MOVE_PART = 0.35
# Part of the move during which the old targets are still compared.
COMPARED_PART = 0.5
# The status is written this long before the deadline at the latest, as
# instances learn of an order up to 2 s late. Short orders leave less, as old
# targets have to finish first.
WRITE_MARGIN_S = 2.0
FINISH_PART = 0.6


class State(enum.Enum):
    """The state of a roll-out, as its status says it."""

    ROLLING = 'rolling'
    COMPLETE = 'complete'
    REVERTED = 'reverted'

    @property
    def is_final(self):
        """Whether no other state follows for the same order."""
        return self is not State.ROLLING


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Asks to move a service to a version.

    Orders with the same content are the same order.

    :param over_s: seconds within which the move ends.
    """

    service: str
    to_version: str
    over_s: float

    @property
    def burst_at_s(self):
        """Seconds after the order at which the burst begins."""
        return BURST_PART * self.over_s

    @property
    def move_at_s(self):
        """Seconds after the order from which most requests may move."""
        move_s = max(MIN_MOVE_S, MOVE_PART * self.over_s)
        return self.over_s - min(move_s, MAX_MOVE_PART * self.over_s)

    def moving_part(self, age_s):
        """Return the part that the new version gets during the move.

        :param age_s: seconds since the order.
        """
        done = (age_s - self.move_at_s) / (self.drain_at_s - self.move_at_s)
        done = min(max(done, 0.0), 1.0)
        return FIRST_PART + (MAJORITY - FIRST_PART) * done

    @property
    def drain_at_s(self):
        """Seconds after the order at which old targets get nothing more."""
        move_s = self.over_s - self.move_at_s
        return self.move_at_s + COMPARED_PART * move_s

    @property
    def decide_at_s(self):
        """Seconds after the order at which the status is written."""
        finish_s = FINISH_PART * (self.over_s - self.drain_at_s)
        return max(self.drain_at_s + finish_s, self.over_s - WRITE_MARGIN_S)


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Tells operators how far a roll-out is.

    :param state: State.
    """

    to_version: str
    state: State


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Holds what instances need to continue a roll-out of others.

    It is written together with the status.

    :param order: RolloutOrder that it belongs to.
    :param state: State.
    :param is_moving: whether most requests go to the new version.
    :param started_at: wall clock time in seconds at which the first writer
        learned of the order.
    :param rejected: versions of earlier orders that did not complete.
    :param run: number of the roll-out of the service.
    :param is_withdrawn: whether the order was withdrawn, so that one with
        the same content begins another roll-out.
    """

    order: RolloutOrder
    state: State
    is_moving: bool
    started_at: float
    rejected: tuple[str, ...] = ()
    run: int = 1
    is_withdrawn: bool = False

    @property
    def rank(self):
        """Position in the order of all records of the service."""
        return (
            self.run,
            self.is_withdrawn,
            self.state.is_final,
            self.is_moving,
        )

    @property
    def status(self):
        """The RolloutStatus that goes with it."""
        return RolloutStatus(self.order.to_version, self.state)

    def is_for(self, order):
        """Return whether it belongs to a RolloutOrder."""
        return self.order == order and not self.is_withdrawn
