"""Stops an instance so that callers lose no request.

See ``stop_plan`` for the decisions.
"""

import dataclasses

import trio

from savorycross.gateway import stop_plan

CHECK_INTERVAL_S = 0.05
# Callers keep a directory answer up to this many times its time to live.
DIRECTORY_TTL_FACTOR = 3.5


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of an instance that its stop deals with.

    :param directory: Directory.
    :param gateway: Gateway.
    :param servers: Servers of the instance.
    :param loop_load: LoopLoad.
    :param farewells: async functions that tell others of the stop.
    """

    directory: object
    gateway: object
    servers: object
    loop_load: object
    farewells: tuple


class PlannedStop:
    """The stop of an instance after a signal.

    ``has_begun`` tells whether the instance is stopping.

    :param parts: Parts.
    :param read_settings: callable that returns the InstanceSettings in force.
    :param nursery: nursery for the farewells.
    :param log: EventLog.
    """

    def __init__(self, parts, read_settings, nursery, log):
        self.has_begun = False
        self._parts = parts
        self._read_settings = read_settings
        self._nursery = nursery
        self._log = log

    async def run(self):
        """Leave the directory, then serve until callers no longer use it.

        The wait ends with the grace period in any case. What is in progress
        then is answered as timed out; what would be is refused before.
        """
        parts = self._parts
        started_at = trio.current_time()
        self.has_begun = True
        parts.directory.is_ready = False
        for running_server in parts.servers.all:
            running_server.is_stopping = True
        plan = self._plan(started_at)
        self._log.event(
            'instance.stopping',
            busy=parts.servers.callers.busy,
            lag_s=round(parts.loop_load.lag_s, 3),
            serves_s=round(plan.end_at - started_at, 3),
        )
        for farewell in parts.farewells:
            self._nursery.start_soon(farewell)
        directory_expired_at = (
            started_at
            + DIRECTORY_TTL_FACTOR * self._read_settings().directory_ttl_s
        )
        while (now := trio.current_time()) < plan.end_at:
            if now >= directory_expired_at and self._is_unused:
                break
            await trio.sleep(CHECK_INTERVAL_S)
            plan = self._plan(started_at)
        expired = self._busy_count
        self._plan_end(now, plan.end_at)
        await self._finish_requests(now + plan.drain_s)
        self._log.event(
            'instance.stopped',
            expired=expired,
            cut=parts.servers.callers.busy,
            lag_s=round(parts.loop_load.lag_s, 3),
            after_s=round(trio.current_time() - started_at, 3),
        )

    @property
    def _is_unused(self):
        """Whether no request is in progress, and none on its way.

        The first request of a new connection is on its way.
        """
        return not self._busy_count and self._parts.servers.callers.is_drained

    @property
    def _busy_count(self):
        """Number of connections with a request in progress."""
        return (
            self._parts.servers.callers.busy + self._parts.servers.peers.busy
        )

    def _plan(self, started_at):
        """Return the StopPlan by the lag that was seen until now."""
        plan = stop_plan.plan_stop(
            started_at,
            self._read_settings().grace_s,
            self._parts.loop_load.lag_s,
        )
        self._plan_end(plan.end_at, plan.end_at)
        return plan

    def _plan_end(self, end_at, alone_until):
        """Tell the gateway when the instance ends.

        :param end_at: runtime clock time of the end.
        :param alone_until: runtime clock time at which callers are to return
            if no other instance is listed now.
        """
        now = trio.current_time()
        has_others = bool(self._parts.directory.serving_peers(now))
        self._parts.gateway.plan_end(
            end_at, now if has_others else alone_until
        )

    async def _finish_requests(self, close_at):
        """Answer all requests, and wait until replies are sent.

        Callers that connect meanwhile are refused with a reply; once nobody
        listens, they would get none.

        :param close_at: runtime clock time at which the wait ends.
        """
        callers = self._parts.servers.callers
        peers = self._parts.servers.peers
        refusal = self._parts.gateway.make_end_refusal()
        callers.answer_arrived(refusal)
        peers.expire_requests()
        while trio.current_time() < close_at:
            if callers.is_drained and not peers.has_pending:
                break
            await trio.sleep(CHECK_INTERVAL_S)
        callers.finish(refusal)
