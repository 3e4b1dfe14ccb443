"""Requests whose connection ended before the answer, by link.

Load pattern: a version closes connections instead of answering. Connections
also end as targets crash, a data centre is lost or a link is cut, which says
nothing about a version. Losses are therefore compared between old and new
targets of one data centre as seen from one data centre, at the same time, and
a loss counts only once the target has taken part in a later request, or has
stayed listed for a while without refusing a connection.

Source of the method: comparison within strata (Mantel and Haenszel, J. Natl.
Cancer Institute 22(4), 1959).
"""

import dataclasses

from savorycross.rollout import sequential_test

# Time within which a target that has crashed refuses a connection or is no
# longer listed.
SETTLE_S = 3.0
# Links of one instance, and of all instances at those that decide.
MAX_LINKS = 16
MAX_ALL_LINKS = 64
# Rates of losses may differ by this, and the assumed ones by these on top. A
# good version that gets fewer requests than the old one meets more connections
# that have just been closed as idle.
MARGIN = 0.03
LIFTS = (0.07, 0.3, 0.6)


@dataclasses.dataclass(slots=True)
class LinkSums:
    """Counts of the requests to one data centre that have ended.

    :param old: number of those to old targets.
    :param old_lost: number of these that lost their connection.
    :param new: number of those to new targets.
    :param new_lost: number of these that lost their connection.
    """

    old: int = 0
    old_lost: int = 0
    new: int = 0
    new_lost: int = 0

    def count(self, is_new, is_lost):
        """Count a request."""
        if is_new:
            self.new += 1
            self.new_lost += is_lost
        else:
            self.old += 1
            self.old_lost += is_lost

    def add(self, other):
        """Add other LinkSums."""
        self.old += other.old
        self.old_lost += other.old_lost
        self.new += other.new
        self.new_lost += other.new_lost


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    data_centre: str
    is_new: bool
    at: float


class LossCollector:
    """Counts the requests of this instance until they are reported."""

    def __init__(self):
        self._sums = {}
        self._pending = {}

    def add_answer(self, state, is_new, started_at):
        """Count an answer.

        :param state: TargetState of the target.
        :param started_at: runtime clock time at which the request was sent.
        """
        self._settle(state, started_at)
        self._count(state.target.data_centre, is_new, False)

    def add_loss(self, state, is_new, started_at, was_sent, now):
        """Note a lost connection, which may count later.

        :param was_sent: whether the request may have been sent; if not, the
            target may have crashed, so that what it lost does not count.
        """
        if not was_sent:
            self._pending.pop(state, None)
            return
        self._settle(state, started_at)
        loss = _Loss(state.target.data_centre, is_new, now)
        self._pending.setdefault(state, []).append(loss)

    def take(self, is_listed, now):
        """Return LinkSums by data centre, and count from zero again.

        :param is_listed: callable that takes a TargetState and returns
            whether its target still runs, as far as is known.
        """
        for state in list(self._pending):
            if not is_listed(state):
                del self._pending[state]
                continue
            self._settle(state, now - SETTLE_S)
        taken, self._sums = self._sums, {}
        return taken

    def _settle(self, state, before):
        """Count the losses before a time, which the target has outlived."""
        losses = self._pending.pop(state, ())
        later = [loss for loss in losses if loss.at >= before]
        if later:
            self._pending[state] = later
        for loss in losses:
            if loss.at < before:
                self._count(loss.data_centre, loss.is_new, True)

    def _count(self, data_centre, is_new, is_lost):
        sums = self._sums.get(data_centre)
        if sums is None:
            if len(self._sums) >= MAX_LINKS:
                return
            sums = self._sums[data_centre] = LinkSums()
        sums.count(is_new, is_lost)


class LossTest:
    """Tests whether new targets lose more connections than old ones.

    ``evidence`` is the Evidence of all links together.

    :param blocks: number of blocks at which a version may turn bad.
    """

    def __init__(self, blocks):
        self.evidence = sequential_test.Evidence(blocks, len(LIFTS))
        self._links = {}

    def add(self, link, sums):
        """Add the counts of one instance.

        :param link: pair of the data centres of the sender and the targets.
        :param sums: LinkSums.
        """
        known = self._links.get(link)
        if known is None:
            if len(self._links) >= MAX_ALL_LINKS:
                return
            known = self._links[link] = (
                sequential_test.Rates(MARGIN, LIFTS),
                LinkSums(),
            )
        known[1].add(sums)

    def close_block(self):
        """Test what was added since the last call.

        A link on which either version has none goes on with its block.
        """
        total = [0.0] * len(LIFTS)
        is_compared = False
        for link, (rates, sums) in self._links.items():
            if not sums.old or not sums.new:
                continue
            is_compared = True
            factors = rates.add_block(
                sums.old, sums.old_lost, sums.new, sums.new_lost
            )
            total = [a + b for a, b in zip(total, factors, strict=True)]
            self._links[link] = (rates, LinkSums())
        if is_compared:
            self.evidence.multiply(total)
