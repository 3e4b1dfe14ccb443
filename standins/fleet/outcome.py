"""How requests of modelled callers ended."""

import collections
import dataclasses
import enum


class Result(enum.StrEnum):
    """The result of a request over all its tries."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    LEFT = 'left'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one request.

    :param at_s: simulated time of the first try.
    :param took_s: seconds from the first try to the end.
    :param coverage: part of the shards in the answer.
    :param credit: worth that was earned, as a part of the kind's weight.
    :param refused_after_s: longest time for which an instance held a try
        that it refused, or None if none was refused.
    :param workspace: name of the caller's workspace, or an empty text.
    """

    kind: str
    at_s: float
    took_s: float
    result: Result
    coverage: float = 0.0
    credit: float = 0.0
    tries: int = 1
    refused_after_s: float | None = None
    workspace: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one run of a pattern measured.

    :param sends: requests that targets received.
    :param first_sends: requests that a fleet without extra sends makes.
    :param refusals: requests that targets refused.
    :param most_cold: most requests that a cold target received in a second.
    :param worst_extra_ratio: largest ratio of extra sends to the bound on
        them, over all services and windows.
    :param worst_limited_ratio: largest ratio of requests to a target that
        states a limit to the bound on them.
    :param remote_sends: sends to targets in other data centres.
    :param limit_use: requests to such targets as a part of their limits.
    """

    pattern: str
    variant: str
    outcomes: tuple[Outcome, ...]
    weights: dict[str, float]
    sends: int
    first_sends: int
    refusals: int
    most_cold: int
    worst_extra_ratio: float
    worst_limited_ratio: float = 0.0
    limit_use: float = 0.0
    remote_sends: int = 0

    def select(self, kind=None):
        """Return the outcomes of a kind, or all, of callers that stayed."""
        return [
            o
            for o in self.outcomes
            if (kind is None or o.kind == kind) and o.result is not Result.LEFT
        ]

    def worth(self, kind=None, since_s=0.0, until_s=float('inf')):
        """Return the part of the possible credit that was earned.

        :param kind: name of a kind, or None for all.
        :param since_s: start of the counted requests.
        :param until_s: end of the counted requests.
        """
        counted = [o for o in self.select(kind) if since_s <= o.at_s < until_s]
        owed = sum(self.weights[o.kind] for o in counted)
        earned = sum(self.weights[o.kind] * o.credit for o in counted)
        return earned / owed if owed else 1.0

    def count(self, result, kind=None):
        """Return the number of requests with a result."""
        return sum(o.result is result for o in self.select(kind))

    def share(self, result, kind=None):
        """Return the part of requests with a result."""
        return self.count(result, kind) / max(len(self.select(kind)), 1)

    def worth_by_window(self, window_s=2.0):
        """Return the worth of each window of time, in order."""
        last_s = max((o.at_s for o in self.outcomes), default=0.0)
        return [
            self.worth(None, n * window_s, (n + 1) * window_s)
            for n in range(int(last_s / window_s) + 1)
        ]

    def results_by_second(self):
        """Return a Counter of results for each second of first tries."""
        seconds = collections.defaultdict(collections.Counter)
        for outcome in self.outcomes:
            seconds[int(outcome.at_s)][outcome.result] += 1
        return dict(seconds)
