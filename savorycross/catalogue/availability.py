"""Availability of targets, combined from all of its sources."""

import math

from savorycross.catalogue import state as states


class Availability:
    """The availability of each target, by name.

    A target's state is the more restrictive of its declared state and, if
    the platform lists the target as leaving, ``CLOSING``. Whether a target
    itself reports that it drains is not part of it: ``relay.replica.Replica``
    keeps that.

    :param wall: callable that returns the wall-clock time in seconds since
        the epoch.
    """

    def __init__(self, wall):
        self._wall = wall
        self._leaving = frozenset()
        self._next_refresh_at = 0.0
        self.states = {}
        self.generation = 0

    def is_open(self, target):
        """Return whether a target may be sent new work."""
        return self.states.get(target) is states.State.OPEN

    def set_leaving(self, names):
        """Set the names of the targets that the platform lists as leaving."""
        if names != self._leaving:
            self._leaving = frozenset(names)
            self._next_refresh_at = 0.0

    def is_due(self):
        """Return whether ``refresh`` may change a state.

        It may if the list of leaving targets has changed, or if a scheduled
        state of the catalogue begins or ends.
        """
        return self._wall() >= self._next_refresh_at

    def refresh(self, catalogue):
        """Compute the state of each target at the present time.

        :param catalogue: Catalogue that declares the targets.
        :returns: whether any state has changed; ``generation`` then
            increases by one.
        """
        now = self._wall()
        self._next_refresh_at = catalogue.next_change(now) or math.inf
        new_states = {}
        for target in catalogue.targets:
            state = catalogue.state_of(target.name, now)
            if target.name in self._leaving:
                state = states.worst(state, states.State.CLOSING)
            new_states[target.name] = state
        if new_states == self.states:
            return False
        self.states = new_states
        self.generation += 1
        return True
