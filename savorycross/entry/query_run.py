"""The state machine of one query at its entry.

It does no input or output: its methods take events and the current time and
return the messages to send to owners.
"""

import collections
import dataclasses

from savorycross.merge import merger
from savorycross.peer import messages
from savorycross.relay import job

DEADLINE_MARGIN_RATIO = 0.03
DEADLINE_MARGIN_MIN_S = 0.004
DEADLINE_MARGIN_MAX_S = 0.05
REPLAN_INTERVAL_S = 0.03
SETTLE_WAIT_RATIO = 0.6
SETTLE_WAIT_MAX_S = 0.8
MAX_REROUTES = 3
_REROUTED_CAUSES = frozenset(
    {str(job.Cause.OWNER_LOST), str(job.Cause.NO_TARGET)}
)


@dataclasses.dataclass(frozen=True, slots=True)
class QuerySpec:
    """The parameters of a query.

    :param priority: 0 is the highest.
    :param payload: passed to every shard as it is.
    :param deadline: runtime clock, seconds.
    :param early_end: time at which the query ends if its coverage is at
        least ``min_coverage``; runtime clock, seconds; None for no such time.
    :param min_coverage: least acceptable ratio of answered shards, 0 to 1.
    """

    request_id: str
    index: str
    priority: int
    payload: bytes
    deadline: float
    early_end: float | None
    min_coverage: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendAction:
    """Asks for a message to be sent to an instance.

    :param to: name of the instance.
    """

    to: str
    message: messages.Part | messages.CancelPart


@dataclasses.dataclass(slots=True)
class _OpenPart:
    """A part whose final answer has not arrived."""

    owner: str
    replica_set_by_shard: dict[str, str]


class QueryRun:
    """Drives one query from its plan to its end.

    The shards are sent to the owners of their replica sets in parts. A shard
    whose owner fails or has no target for it is sent to the next owner. If
    the snapshot is no longer available on a target, the query starts again
    on another snapshot.

    If a plan misses shards after such a restart or while it is not settled
    (see Plan), the query plans again every ``REPLAN_INTERVAL_S``, for
    ``SETTLE_WAIT_RATIO`` of the time that it has left and at most for
    ``SETTLE_WAIT_MAX_S``.

    :param spec: QuerySpec.
    :param make_plan: callable of the snapshots to avoid; returns a Plan.
    :param owners: callable that returns the names of the possible owners of
        a replica set, the best first.
    :param part_ids: iterator of part ids, unique on this instance.
    """

    def __init__(self, spec, make_plan, owners, part_ids):
        self.spec = spec
        self.plan = None
        self.merger = None
        self.is_done = False
        self.wait_ms = 0.0
        self.restarts = 0
        self._make_plan = make_plan
        self._owners = owners
        self._part_ids = part_ids
        self._open_parts = {}
        self._unavailable_snapshots = frozenset()
        self._tried_owners = collections.defaultdict(set)
        self._replan_at = None
        self._settle_deadline = None

    def start(self, now):
        """Plan the query and send its parts.

        :param now: runtime clock, seconds.
        :returns: list of SendAction.
        """
        self.plan = self._make_plan(self._unavailable_snapshots)
        self.merger = merger.Merger(
            self.plan.shards_by_replica_set.values(), self.plan.missed
        )
        self._tried_owners.clear()
        shard_replica_sets = [
            (shard, replica_set)
            for replica_set, shards in self.plan.shards_by_replica_set.items()
            for shard in shards
        ]
        if self._should_wait_for_plan(now):
            self._replan_at = now + REPLAN_INTERVAL_S
            return []
        if not shard_replica_sets:
            return self._handle_empty_plan(now)
        return self._send_or_end(shard_replica_sets, now)

    def _should_wait_for_plan(self, now):
        """Return whether to wait for a plan with fewer missed shards."""
        if not self.plan.missed or (
            self.plan.is_settled and not self.restarts
        ):
            return False
        if self._settle_deadline is None:
            wait_s = (self.spec.deadline - now) * SETTLE_WAIT_RATIO
            self._settle_deadline = now + min(wait_s, SETTLE_WAIT_MAX_S)
        return now < self._settle_deadline

    def next_timer_at(self):
        """Return the time of the next timer; runtime clock, seconds."""
        times = [self.spec.deadline]
        if self.spec.early_end is not None:
            times.append(self.spec.early_end)
        if self._replan_at is not None:
            times.append(self._replan_at)
        return min(times)

    def handle_part_answer(self, answer, now):
        """Merge the results of a PartAnswer.

        :param now: runtime clock, seconds.
        :returns: list of SendAction.
        """
        part = self._open_parts.get(answer.part_id)
        if part is None or self.is_done:
            return []
        self.wait_ms = max(self.wait_ms, answer.wait_ms)
        unanswered = []
        for result in answer.results:
            replica_set = part.replica_set_by_shard.pop(result.shard, None)
            if replica_set is None:
                continue
            if result.cause == job.Cause.VERSION_GONE:
                return self._restart(now)
            if not self._merge_result(result, replica_set, part.owner):
                unanswered.append((result.shard, replica_set))
        if answer.final:
            unanswered += list(part.replica_set_by_shard.items())
            del self._open_parts[answer.part_id]
        return self._send_or_end(unanswered, now)

    def handle_owner_lost(self, owner, now):
        """Send the open shards of a failed instance to other owners.

        :param owner: name of the instance.
        :param now: runtime clock, seconds.
        :returns: list of SendAction.
        """
        unanswered = []
        for part_id, part in list(self._open_parts.items()):
            if part.owner == owner:
                unanswered += list(part.replica_set_by_shard.items())
                del self._open_parts[part_id]
        return self._send_or_end(unanswered, now)

    def run_due_timers(self, now):
        """Run the timers that are due.

        :param now: runtime clock, seconds.
        :returns: list of SendAction.
        """
        if self.is_done:
            return []
        if now >= self.spec.deadline:
            return self._end()
        if self._replan_at is not None and now >= self._replan_at:
            self._replan_at = None
            return self.start(now)
        if self.spec.early_end is not None and now >= self.spec.early_end:
            self.spec = dataclasses.replace(self.spec, early_end=None)
            if self.merger.ratio >= max(self.spec.min_coverage, 1e-9):
                return self._end()
        return []

    def cancel(self):
        """End the query before its deadline.

        :returns: list of SendAction.
        """
        return self._end()

    def _merge_result(self, result, replica_set, owner):
        """Merge a shard's result.

        :returns: False if another owner must be asked.
        """
        if not result.cause:
            if not self.merger.add(result.shard, result.body):
                self.merger.mark_missed(result.shard, str(job.Cause.FAILED))
            return True
        if result.cause in _REROUTED_CAUSES:
            return False
        self.merger.mark_missed(result.shard, result.cause)
        return True

    def _send_or_end(self, shard_replica_sets, now):
        """Send shards to owners; end the query if no shard is open."""
        actions = (
            self._send_to_owners(shard_replica_sets, now)
            if shard_replica_sets
            else []
        )
        if self.merger.is_complete and self._replan_at is None:
            return actions + self._end()
        return actions

    def _send_to_owners(self, shard_replica_sets, now):
        """Send each shard to its next owner, as one part for each owner.

        :param shard_replica_sets: pairs of a shard key and the name of its
            replica set.
        """
        shards_by_owner = collections.defaultdict(dict)
        for shard, replica_set in shard_replica_sets:
            owner = self._next_owner(shard, replica_set)
            if owner is None:
                self.merger.mark_missed(shard, str(job.Cause.OWNER_LOST))
            else:
                shards_by_owner[owner][shard] = replica_set
        return [
            SendAction(owner, self._make_part(owner, shards, now))
            for owner, shards in shards_by_owner.items()
        ]

    def _next_owner(self, shard, replica_set):
        """Return the best owner not yet tried for a shard, or None."""
        tried = self._tried_owners[shard]
        if len(tried) > MAX_REROUTES:
            return None
        for owner in self._owners(replica_set):
            if owner not in tried:
                tried.add(owner)
                return owner
        return None

    def _make_part(self, owner, shards, now):
        """Return a Part for an owner, and add it to the open parts.

        The deadline of a part is earlier than that of the query, so that the
        owner's answer arrives in time.

        :param shards: replica set by shard key.
        """
        part_id = next(self._part_ids)
        self._open_parts[part_id] = _OpenPart(owner, dict(shards))
        remaining_s = self.spec.deadline - now
        margin_s = min(
            max(remaining_s * DEADLINE_MARGIN_RATIO, DEADLINE_MARGIN_MIN_S),
            DEADLINE_MARGIN_MAX_S,
        )
        flush_s = 0.0
        if self.spec.early_end is not None:
            flush_s = max(self.spec.early_end - now - margin_s, 0.001)
        return messages.Part(
            part_id=part_id,
            request_id=self.spec.request_id,
            replica_sets=tuple(shards.values()),
            shards=tuple(shards),
            version=self.plan.snapshot.version,
            epoch=self.plan.snapshot.epoch,
            priority=self.spec.priority,
            deadline_ms=max(remaining_s - margin_s, 0.001) * 1000,
            flush_ms=flush_s * 1000,
            payload=self.spec.payload,
        )

    def _restart(self, now):
        """Start again on another snapshot; the current one is gone."""
        cancels = self._cancel_open_parts()
        self._unavailable_snapshots = self._unavailable_snapshots | {
            self.plan.snapshot
        }
        self.restarts += 1
        return cancels + self.start(now)

    def _handle_empty_plan(self, now):
        """Plan again soon if snapshots were avoided, else end the query."""
        if not self._unavailable_snapshots:
            return self._end()
        self._unavailable_snapshots = frozenset()
        self._replan_at = now + REPLAN_INTERVAL_S
        return []

    def _cancel_open_parts(self):
        cancels = [
            SendAction(part.owner, messages.CancelPart(part_id))
            for part_id, part in self._open_parts.items()
        ]
        self._open_parts.clear()
        return cancels

    def _end(self):
        """Mark the query as done and cancel its open parts."""

        self.is_done = True
        self.merger.mark_rest_missed(str(job.Cause.DEADLINE))
        return self._cancel_open_parts()
