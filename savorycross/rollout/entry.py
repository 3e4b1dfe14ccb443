"""A roll-out with what only reporting and writing need."""

import dataclasses

from savorycross.rollout import pool as pools
from savorycross.rollout import rollout as rollouts


@dataclasses.dataclass(slots=True)
class Entry:
    """A Rollout with the state of its reports and writes.

    Times are those of the runtime clock, in seconds.

    :param pool: Pool of the reports of others, or None.
    :param credited_run: run for which credit was given; see ``exposure``.
    :param run: run of the roll-out that the pool is for.
    :param closed_at: when the latest block of answers was closed.
    :param summed_at: when this instance reported sums last.
    :param settled_at: when a roll-out that has ended was last looked at.
    :param warnings: how often others were told that the version is bad.
    :param due_since: since when a write has been due, or None.
    :param not_before: when the next write may be made.
    :param written_at: when the latest write was made here, or None.
    """

    rollout: rollouts.Rollout
    pool: pools.Pool | None = None
    credited_run: int = 0
    run: int = 0
    closed_at: float = 0.0
    summed_at: float = 0.0
    settled_at: float = 0.0
    warnings: int = 0
    due_since: float | None = None
    not_before: float = 0.0
    written_at: float | None = None

    @property
    def is_settled(self):
        """Whether the roll-out has ended, so that little can happen."""
        record, order = self.rollout.record, self.rollout.order
        return (
            record is not None
            and record.state.is_final
            and (order is None or record.is_for(order))
        )

    def find_pool(self, timing):
        """Return the Pool of the run in the record; it is made if needed.

        :param timing: Timing.
        """
        run = self.rollout.record.run
        if self.pool is None or self.run != run:
            self.pool = pools.Pool(self.rollout.order.over_s, timing)
            self.run = run
            self.warnings = 0
        return self.pool
