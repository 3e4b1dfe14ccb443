"""Runs roll-outs: reports in time, and writes to the store."""

import trio

from savorycross import errors

# How often is looked for writes that are due.
WRITE_INTERVAL_S = 0.1


class RolloutTasks:
    """The tasks of Rollouts.

    :param rollouts: Rollouts.
    :param store: ItemStore.
    """

    def __init__(self, rollouts, store):
        self._rollouts = rollouts
        self._store = store

    async def run(self):
        """Report and evaluate until cancelled."""
        while True:
            self._rollouts.tick()
            await trio.sleep(self._rollouts.timing.tick_s)

    async def run_writes(self):
        """Write what is due until cancelled."""
        while True:
            for write in self._rollouts.list_writes():
                await self._write(write)
            await trio.sleep(WRITE_INTERVAL_S)

    async def _write(self, write):
        try:
            is_written = await self._store.compare_and_put(
                write.values, write.revisions
            )
        except errors.StoreUnavailableError:
            outcome = 'unavailable'
        else:
            outcome = 'written' if is_written else 'conflict'
        self._rollouts.record_write(write, outcome)
