"""Which targets of a service may get a send, old ones or new ones.

Load pattern: hundreds of instances, each with a few of the requests of a
service, start to use a new version that may be bad, at once and without
agreement. Each one counts its own requests and gives the new version no more
than the allowed share of these, so that the sum is within the share of all
requests whatever the instances know of each other. An instance that starts
again has both counts at zero. A part of the slack is divided by
``overload.shares``, as evidence comes too late for short roll-outs with few
requests otherwise; the rest covers the sends until a fault is found.

Source of the method: division of a limit into local limits whose sum implies
it (Barbara-Milla and Garcia-Molina, "The Demarcation Protocol", VLDB Journal
3(3), 1994).
"""

import enum

from savorycross.rollout import order as orders


class Phase(enum.Enum):
    """Which targets of a service are used."""

    EARLY = 'early'
    BURST = 'burst'
    MOVING = 'moving'
    NEW_ONLY = 'new only'
    OLD_ONLY = 'old only'
    # The roll-out may have ended either way meanwhile, so neither version is
    # used: old targets may be gone, and the new version may be bad.
    UNKNOWN = 'unknown'


def choose_phase(order, record, age_s, is_halted, is_confirmed=True):
    """Return the Phase of a roll-out on this instance.

    :param order: RolloutOrder.
    :param record: RolloutRecord of the service, or None if none is known.
    :param age_s: seconds since the order.
    :param is_halted: whether the new version is known to be bad.
    :param is_confirmed: whether another instance has confirmed lately that
        the new version is not known to be bad. One that is cut off does not
        learn that it is, nor that the old targets have ended.
    """
    if record is None or not record.is_for(order):
        return Phase.OLD_ONLY
    if record.state is orders.State.COMPLETE:
        return Phase.NEW_ONLY
    if record.state is orders.State.REVERTED:
        return Phase.OLD_ONLY
    may_be_over = age_s >= order.drain_at_s
    if not is_confirmed:
        return Phase.UNKNOWN if may_be_over else Phase.OLD_ONLY
    if is_halted:
        # Another instance may have written the end before it learned that.
        may_be_over = may_be_over and record.is_moving
        return Phase.UNKNOWN if may_be_over else Phase.OLD_ONLY
    if record.is_moving:
        is_draining = age_s >= order.drain_at_s
        return Phase.NEW_ONLY if is_draining else Phase.MOVING
    return Phase.EARLY if age_s < order.burst_at_s else Phase.BURST


class Exposure:
    """Counts this instance's requests to a service and its new version.

    ``phase`` is the Phase in force, ``requests`` the number of requests
    since the order, ``new_sends`` that of sends to the new version;
    ``part`` is the part that it gets at most of the requests of a phase,
    ``credit`` the number of sends that it may get on top of its share.

    :param share: part of the requests that the new version may get.
    :param debt: sends to the new version after the order, before this
        instance learned of it.
    """

    def __init__(self, share, debt=0):
        self.phase = Phase.OLD_ONLY
        self.part = orders.MAJORITY
        self.credit = 0
        self.requests = 0
        self.new_sends = 0
        self._share = share
        self._debt = debt
        self._phase_requests = 0
        self._phase_new = 0

    def set_phase(self, phase):
        """Set the phase in force."""
        if phase is self.phase:
            return
        self.phase = phase
        self._phase_requests = 0
        self._phase_new = 0

    def allows_new(self, is_first):
        """Return whether the new version may get the next send.

        :param is_first: whether it is the first send of its request. Others
            repeat what may have failed because of the new version, so they
            go to old targets as long as there are any in use.
        """
        if self.phase is Phase.NEW_ONLY:
            return True
        if self.phase in (Phase.OLD_ONLY, Phase.UNKNOWN) or not is_first:
            return False
        if self._phase_new + 1 > self.part * (self._phase_requests + 1):
            return False
        if self.phase is Phase.MOVING:
            return True
        allowed = self._share * (self.requests + 1)
        credit = self.credit
        if self.new_sends + self._debt + 1 > allowed + credit:
            return False
        if self.phase is Phase.BURST:
            return True
        return self.new_sends + 1 <= orders.EARLY_PART * allowed + credit

    def record_send(self, is_new, is_first):
        """Count a send.

        :param is_new: whether a target of the new version got it.
        :param is_first: whether it is the first send of its request.
        """
        self.requests += is_first
        self.new_sends += is_new
        self._phase_requests += is_first
        self._phase_new += is_new
