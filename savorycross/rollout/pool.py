"""What the instances that decide on a roll-out know from the others.

Load pattern: each instance sees a few of the answers, and each may have
requests in progress at old targets. All of them report to the instances
ranked first for the service, so that the reports of one instance do not grow
with their number.

Source of the method: rendezvous hashing (Thaler and Ravishankar, 1998); see
``overload.shares``.
"""

from savorycross.rollout import evaluation
from savorycross.rollout import timing as timings

# Instances that get the reports of all others.
MAX_POOLS = 3


class Pool:
    """Reports of all instances on one run of a roll-out.

    :param over_s: seconds of the roll-out.
    :param timing: Timing.
    """

    def __init__(self, over_s, timing=timings.Timing()):
        self.evaluation = evaluation.Evaluation(over_s, timing.block_s)
        self._told_s = timing.told_s
        self._reports = {}

    def add(self, sender, report, pairs, links, now):
        """Add a report.

        :param sender: pair of the name and data centre of its instance.
        :param report: protocol.Report.
        :param pairs: its Sums of old and new targets by stratum.
        :param links: its LinkSums by data centre.
        """
        name, own_data_centre = sender
        is_drained = report.is_draining and not report.in_flight
        self._reports[name] = (now, is_drained)
        for stratum, (old, new) in pairs.items():
            self.evaluation.add(stratum, old, new)
        for data_centre, sums in links.items():
            self.evaluation.losses.add((own_data_centre, data_centre), sums)

    def is_drained(self, senders, now):
        """Return whether nothing is in progress at old targets.

        An instance that hears no longer of most others may be the one that
        is cut off, so it cannot tell.

        :param senders: names of the instances that take callers.
        """
        recent = {
            name: is_drained
            for name, (told_at, is_drained) in self._reports.items()
            if now - told_at < self._told_s
        }
        return (
            senders <= recent.keys()
            and 2 * len(recent) > len(self._reports)
            and all(recent.values())
        )
