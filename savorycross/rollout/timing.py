"""Intervals of the reports on roll-outs, from the bound on a bad version.

Load pattern: any instance may lose its connection to the others at the moment
at which they learn that the new version is bad, and its last confirmation may
be as old as the reports that are still on their way.

A bad answer is reported within ``report_s`` and a tick, evaluated within
``block_s`` and a tick, and told to the others. An instance that hears nothing
stops ``confirmed_s`` after the send of its last report that was answered, at
its next tick. These take three quarters of the bound together, and nine
tenths if there are many reports; the rest is for the network and for ticks
that are late.

Source of the method: leases, whose term bounds the time for which stale
information is used (Gray and Cheriton, "Leases", 1989).
"""

import dataclasses

# Bound for which the intervals below were chosen; longer ones change nothing.
REFERENCE_S = 5.0
# Shorter bounds are not kept, as ticks would take most of the processor.
MIN_REVERT_S = 0.5

TICK_S = 0.25
REPORT_S = 0.5
# Interval of many reports, which share a budget of bytes.
LONGEST_REPORT_S = 1.25
BLOCK_S = 0.5
# Two reports in a row may be lost before a confirmation ends, if they are few.
CONFIRMED_S = 2.0
REFRESHED_S = 1.0
TOLD_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and lifetimes in seconds.

    :param tick_s: interval of the updates of the phase.
    :param report_s: interval of the reports, if they are few.
    :param longest_report_s: interval of the reports, if they are many; see
        ``pace``.
    :param block_s: time that one block of answers covers at least.
    :param confirmed_s: lifetime of a confirmation, from the send of the
        report that it answers.
    :param refreshed_s: lifetime of an update of the phase.
    :param told_s: lifetime of a report at those that decide.
    """

    tick_s: float = TICK_S
    report_s: float = REPORT_S
    longest_report_s: float = LONGEST_REPORT_S
    block_s: float = BLOCK_S
    confirmed_s: float = CONFIRMED_S
    refreshed_s: float = REFRESHED_S
    told_s: float = TOLD_S

    @property
    def longest_s(self):
        """Seconds from a bad answer to the last send, without the network."""
        steps_s = self.longest_report_s + self.block_s + 3 * self.tick_s
        return steps_s + self.confirmed_s


def make_timing(revert_s):
    """Return the Timing that keeps a bound.

    :param revert_s: seconds from the 50th bad answer until the new version
        gets nothing more.

    >>> make_timing(1.0).report_s
    0.1
    """
    scale = min(1.0, max(revert_s, MIN_REVERT_S) / REFERENCE_S)
    usual = dataclasses.astuple(Timing())
    return Timing(*(scale * seconds for seconds in usual))
