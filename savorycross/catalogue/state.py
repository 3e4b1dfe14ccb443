"""Availability states and schedules of them."""

import dataclasses
import enum


class State(enum.StrEnum):
    """Whether a target may be sent new work.

    Neither ``CLOSING`` nor ``OUT`` allows new work. ``CLOSING`` lets requests
    in flight finish; ``OUT`` cancels those that may be repeated.
    """

    OPEN = 'open'
    CLOSING = 'closing'
    OUT = 'out'


_SEVERITY = {State.OPEN: 0, State.CLOSING: 1, State.OUT: 2}


def worst(*states):
    """Return the most restrictive of the states.

    >>> worst(State.OPEN, State.OUT, State.CLOSING)
    <State.OUT: 'out'>
    """
    return max(states, key=_SEVERITY.__getitem__)


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """A state that is in force from ``begin`` until just before ``end``.

    :param begin: seconds since the epoch, or None if the period has no begin.
    :param end: seconds since the epoch, or None if the period has no end.
    """

    state: State
    begin: float | None = None
    end: float | None = None

    def covers(self, wall_time):
        """Return whether the period contains a wall-clock time.

        :param wall_time: seconds since the epoch.
        """
        if self.begin is not None and wall_time < self.begin:
            return False
        return self.end is None or wall_time < self.end


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The scheduled states of a data centre or a target.

    Where periods overlap, the most restrictive state is in force; outside
    all periods the state is ``OPEN``.

    >>> out = Schedule((Period(State.OUT, begin=10.0, end=20.0),))
    >>> [str(out.state_at(t)) for t in (9.0, 10.0, 20.0)]
    ['open', 'out', 'open']
    """

    periods: tuple[Period, ...] = ()

    def state_at(self, wall_time):
        """Return the state in force at a wall-clock time.

        :param wall_time: seconds since the epoch.
        """
        states = [p.state for p in self.periods if p.covers(wall_time)]
        return worst(State.OPEN, *states)

    def next_change(self, wall_time):
        """Return the next time at which a period begins or ends.

        :param wall_time: seconds since the epoch.
        :returns: seconds since the epoch, or None if no period begins or
            ends later.
        """
        times = [
            t
            for p in self.periods
            for t in (p.begin, p.end)
            if t is not None and t > wall_time
        ]
        return min(times, default=None)
