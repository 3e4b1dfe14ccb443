"""The decisions of an entry about one query.

No input or output happens here: messages and timers go in with the time,
messages for owners come out.
"""

import collections
import dataclasses

from savorycross.merge import merger
from savorycross.peer import messages
from savorycross.relay import job

MARGIN_RATIO = 0.03
MARGIN_MIN_S = 0.004
MARGIN_MAX_S = 0.05
REPLAN_PAUSE_S = 0.03
PATIENCE_RATIO = 0.6
PATIENCE_MAX_S = 0.8
MAX_REROUTES = 3
_REROUTED = frozenset({str(job.Cause.OWNER_LOST), str(job.Cause.NO_TARGET)})


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a query asks for.

    :param deadline: runtime clock, seconds.
    :param early: time after which enough coverage ends the query, or None.
    :param min_coverage: least ratio of answered shards.
    """

    request_id: str
    index: str
    priority: int
    payload: bytes
    deadline: float
    early: float | None
    min_coverage: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Action: send a message to an instance."""

    to: str
    message: messages.Part | messages.CancelPart


@dataclasses.dataclass(slots=True)
class _OpenPart:
    """A part whose final answer has not come."""

    owner: str
    set_of_shard: dict[str, str]


class QueryRun:
    """Drives one query from its plan to its end.

    After its snapshot has vanished, or while the numbers of shards are not
    settled, a query waits for news of a snapshot that all shards can answer,
    for a part of the time that it has left.

    :param demand: a Demand.
    :param make_plan: callable of the snapshots to avoid; returns a Plan.
    :param owners: callable that returns the possible owners of a replica
        set, as names, the best first.
    :param part_ids: iterator of part ids, unique on this instance.
    """

    def __init__(self, demand, make_plan, owners, part_ids):
        self.demand = demand
        self.plan = None
        self.merger = None
        self.is_done = False
        self.wait_ms = 0.0
        self.restarts = 0
        self._make_plan = make_plan
        self._owners = owners
        self._part_ids = part_ids
        self._parts = {}
        self._vanished = frozenset()
        self._tried = collections.defaultdict(set)
        self._replan_at = None
        self._patient_until = None

    def start(self, now):
        """Plan the query; return Dispatch actions."""
        self.plan = self._make_plan(self._vanished)
        self.merger = merger.Merger(self.plan.parts.values(), self.plan.missed)
        self._tried.clear()
        pairs = [
            (shard, name)
            for name, shards in self.plan.parts.items()
            for shard in shards
        ]
        if self._waits(now):
            self._replan_at = now + REPLAN_PAUSE_S
            return []
        if not pairs:
            return self._nothing_planned(now)
        return self._reroute(pairs, now)

    def _waits(self, now):
        """Tell whether to wait for a better plan."""
        if not self.plan.missed or (
            self.plan.is_settled and not self.restarts
        ):
            return False
        if self._patient_until is None:
            patience = (self.demand.deadline - now) * PATIENCE_RATIO
            self._patient_until = now + min(patience, PATIENCE_MAX_S)
        return now < self._patient_until

    def next_wake(self):
        """Return the time of the next timer."""
        times = [self.demand.deadline]
        if self.demand.early is not None:
            times.append(self.demand.early)
        if self._replan_at is not None:
            times.append(self._replan_at)
        return min(times)

    def answered(self, answer, now):
        """Take a PartAnswer; return Dispatch actions."""
        part = self._parts.get(answer.part_id)
        if part is None or self.is_done:
            return []
        self.wait_ms = max(self.wait_ms, answer.wait_ms)
        again = []
        for result in answer.results:
            name = part.set_of_shard.pop(result.shard, None)
            if name is None:
                continue
            if result.cause == job.Cause.VERSION_GONE:
                return self._restart(now)
            if not self._take(result, name, part.owner):
                again.append((result.shard, name))
        if answer.final:
            again += list(part.set_of_shard.items())
            del self._parts[answer.part_id]
        return self._reroute(again, now)

    def owner_lost(self, name, now):
        """An instance has failed; return Dispatch actions."""
        again = []
        for part_id, part in list(self._parts.items()):
            if part.owner == name:
                again += list(part.set_of_shard.items())
                del self._parts[part_id]
        return self._reroute(again, now)

    def wake(self, now):
        """Run the timers that are due; return Dispatch actions."""
        if self.is_done:
            return []
        if now >= self.demand.deadline:
            return self._end()
        if self._replan_at is not None and now >= self._replan_at:
            self._replan_at = None
            return self.start(now)
        if self.demand.early is not None and now >= self.demand.early:
            self.demand = dataclasses.replace(self.demand, early=None)
            if self.merger.ratio >= max(self.demand.min_coverage, 1e-9):
                return self._end()
        return []

    def cancel(self):
        """End the query early; return Dispatch actions."""
        return self._end()

    def _take(self, result, name, owner):
        """Merge a result; return False if another owner must be asked."""
        if not result.cause:
            if not self.merger.add(result.shard, result.body):
                self.merger.miss(result.shard, str(job.Cause.FAILED))
            return True
        if result.cause in _REROUTED:
            return False
        self.merger.miss(result.shard, result.cause)
        return True

    def _reroute(self, pairs, now):
        actions = self._dispatch(pairs, now) if pairs else []
        if self.merger.is_complete and self._replan_at is None:
            return actions + self._end()
        return actions

    def _dispatch(self, pairs, now):
        """Send shards to their owners, one part to each."""
        groups = collections.defaultdict(dict)
        for shard, name in pairs:
            owner = self._next_owner(shard, name)
            if owner is None:
                self.merger.miss(shard, str(job.Cause.OWNER_LOST))
            else:
                groups[owner][shard] = name
        return [
            Dispatch(owner, self._make_part(owner, shards, now))
            for owner, shards in groups.items()
        ]

    def _next_owner(self, shard, name):
        tried = self._tried[shard]
        if len(tried) > MAX_REROUTES:
            return None
        for owner in self._owners(name):
            if owner not in tried:
                tried.add(owner)
                return owner
        return None

    def _make_part(self, owner, shards, now):
        part_id = next(self._part_ids)
        self._parts[part_id] = _OpenPart(owner, dict(shards))
        remaining = self.demand.deadline - now
        margin = min(max(remaining * MARGIN_RATIO, MARGIN_MIN_S), MARGIN_MAX_S)
        flush = 0.0
        if self.demand.early is not None:
            flush = max(self.demand.early - now - margin, 0.001)
        return messages.Part(
            part_id=part_id,
            request_id=self.demand.request_id,
            replica_sets=tuple(shards.values()),
            shards=tuple(shards),
            version=self.plan.snapshot.version,
            epoch=self.plan.snapshot.epoch,
            priority=self.demand.priority,
            deadline_ms=max(remaining - margin, 0.001) * 1000,
            flush_ms=flush * 1000,
            payload=self.demand.payload,
        )

    def _restart(self, now):
        """Begin anew on another snapshot, for this one has vanished."""
        cancels = self._cancel_parts()
        self._vanished = self._vanished | {self.plan.snapshot}
        self.restarts += 1
        return cancels + self.start(now)

    def _nothing_planned(self, now):
        """No snapshot is known: look again soon, within the deadline."""
        if not self._vanished:
            return self._end()
        self._vanished = frozenset()
        self._replan_at = now + REPLAN_PAUSE_S
        return []

    def _cancel_parts(self):
        cancels = [
            Dispatch(part.owner, messages.CancelPart(part_id))
            for part_id, part in self._parts.items()
        ]
        self._parts.clear()
        return cancels

    def _end(self):
        self.is_done = True
        self.merger.miss_rest(str(job.Cause.DEADLINE))
        return self._cancel_parts()
