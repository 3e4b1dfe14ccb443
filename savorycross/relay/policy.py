"""The configurable policies of a relay."""

import dataclasses
import itertools

from savorycross.relay import budget
from savorycross.relay import hedge
from savorycross.relay import latency
from savorycross.relay import selector as selectors


@dataclasses.dataclass(frozen=True)
class Policy:
    """How a relay hedges, chooses replicas and limits extra load.

    :param hedging: decides when a hedge is sent.
    :param replica_selector: selects one of the replicas with a free slot.
    :param share: number of instances among which the slots of a target are
        divided.
    :param probes: whether idle replicas get copies of requests.
    :param avoids_slow: whether a request is kept in the queue rather than
        sent to a replica that is far slower than another one.
    :param extra_ratio: limit of sends beyond first sends, as a ratio of
        first sends.
    """

    hedging: hedge.Hedging = dataclasses.field(
        default_factory=hedge.QuantileHedging
    )
    replica_selector: selectors.ReplicaSelector = dataclasses.field(
        default_factory=selectors.LeastExpectedTimeSelector
    )
    share: int = 1
    probes: bool = True
    avoids_slow: bool = True
    extra_ratio: float = budget.EXTRA_RATIO

    def make_budget(self):
        """Return the ExtraLoadBudget that all replica sets share."""
        return budget.ExtraLoadBudget(self.extra_ratio)

    def make_window(self):
        """Return an empty LatencyWindow."""
        return latency.LatencyWindow()

    def make_ids(self):
        """Return an iterator of attempt ids."""
        return itertools.count(1)
