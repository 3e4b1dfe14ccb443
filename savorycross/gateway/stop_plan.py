"""Decides when a planned stop ends.

Load pattern: callers that keep using an instance until its process ends, on a
machine that lets the process run only part of the time. The process is killed
at the end of the grace period, so everything that it has read must be answered
before, and the time that this takes grows with the lag of its event loop.
"""

import dataclasses

# Time for the last replies and for the end of the process, on a machine that
# runs it at once.
DRAIN_S = 0.2
EXIT_S = 0.3
# Work of the event loop that each of them takes, as periods of its lag.
DRAIN_LAGS = 2.0
EXIT_LAGS = 3.0
# The end never takes more than this part of the grace period from callers.
MAX_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """The phases of a planned stop, as runtime clock times in seconds.

    :param end_at: until then requests are served that end in time; what is
        in progress then is answered as timed out, and all else is refused.
    :param close_at: until then replies are sent and requests that have
        arrived are refused; the process ends after it.
    """

    end_at: float
    close_at: float

    @property
    def drain_s(self):
        """Seconds for the last replies, also if the stop ends earlier."""
        return self.close_at - self.end_at


def plan_stop(started_at, grace_s, lag_s):
    """Return the StopPlan of an instance.

    :param started_at: runtime clock time of the stop signal in seconds.
    :param grace_s: seconds from the signal until the process is killed.
    :param lag_s: seconds by which the event loop runs late.

    >>> plan_stop(0.0, 6.0, 0.0)
    StopPlan(end_at=5.5, close_at=5.7)
    >>> plan_stop(0.0, 6.0, 0.1)
    StopPlan(end_at=5.0, close_at=5.4)
    """
    drain_s = DRAIN_S + DRAIN_LAGS * lag_s
    exit_s = EXIT_S + EXIT_LAGS * lag_s
    scale = min(1.0, MAX_PART * grace_s / (drain_s + exit_s))
    close_at = started_at + grace_s - scale * exit_s
    return StopPlan(close_at - scale * drain_s, close_at)
