"""Runs periodic maintenance, and detects that the node was suspended."""

import trio

from savorycross.gateway import boot_clock

INTERVAL_S = 0.5
# If the clocks drift apart by more than this, the node was suspended.
MAX_SUSPENSION_S = 0.3


class Maintenance:
    """Calls functions at an interval, and others after a suspension.

    :param jobs: callables with the runtime clock time in seconds, which are
        called one after the other at each interval.
    :param wake_jobs: callables without arguments, for after a suspension.
    :param log: EventLog.
    """

    def __init__(self, jobs, wake_jobs, log):
        self._jobs = jobs
        self._wake_jobs = wake_jobs
        self._log = log

    async def run(self):
        """Call the functions until cancelled."""
        suspended_s = boot_clock.read_suspended_s()
        while True:
            await trio.sleep(INTERVAL_S)
            now = trio.current_time()
            for job in self._jobs:
                job(now)
            total_s = boot_clock.read_suspended_s()
            if total_s - suspended_s > MAX_SUSPENSION_S:
                self._log.event('instance.woke', stood_s=total_s - suspended_s)
                for job in self._wake_jobs:
                    job()
            suspended_s = total_s
