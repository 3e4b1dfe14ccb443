"""Starts a call to many services whose targets state limits.

Load pattern: all targets of several shards take fewer requests than callers
send. If each part waited for its own token, most calls would get some of
those that they need, and targets would work on calls that then fail. So a
call waits without holding any token until enough services allow a send at
once, and is refused if they do not in time.
"""

from savorycross.forward import fetch as fetches
from savorycross.overload import waiting_line


class GatherStart:
    """Waits until the limits of targets allow enough sends of a call.

    It waits in the lines of all services whose targets state limits.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param limited: Fetches of services whose targets all state limits.
    :param needed: number of them that the call cannot do without.
    :param objective_at: runtime clock time of the latency objective.
    :param end_at: runtime clock time of the call's deadline.
    :param on_ready: called with the Fetches that are needed and can send now,
        and with the other limited ones.
    :param on_refused: called if the limits do not allow the call in time.
    """

    def __init__(
        self,
        engine,
        call,
        route,
        limited,
        needed,
        objective_at,
        end_at,
        on_ready,
        on_refused,
    ):
        self._engine = engine
        self._route = route
        self._limited = limited
        self._needed = needed
        self._objective_at = objective_at
        self._end_at = end_at
        self._wait_until = fetches.find_token_wait_end(route, call.received_at)
        self._on_ready = on_ready
        self._on_refused = on_refused
        self._timer = None

    def start(self):
        """Start the call now, or wait."""
        if self._needed <= 0:
            self._on_ready([], self._limited)
            return
        self._timer = self._engine.timers.call_at(
            self._wait_until, self._stop_waiting
        )
        for fetch in self._limited:
            self._engine.line(fetch.service).join(self)
        self._engine.advance_line(self._limited[0].service, self._engine.now())

    def cancel(self):
        """Wait no longer."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        for fetch in self._limited:
            self._engine.line(fetch.service).leave(self)

    def place(self):
        """Return the Place in the lines."""
        is_late = self._engine.now() > self._objective_at
        return waiting_line.Place(
            self._route.priority, self._needed, self._end_at, is_late
        )

    def try_turn(self, now):
        """Start the call if enough services allow it; return whether so.

        The services whose limits allow most are asked.
        """
        limited = sorted(
            self._limited,
            key=lambda f: -self._engine.count_tokens(f.service, now),
        )
        ready = [f for f in limited if self._engine.may_start(f.service, now)]
        missing = self._needed - len(ready)
        if missing > 0:
            lacking = [f for f in limited if f not in ready]
            for fetch in lacking[:missing]:
                self._engine.borrow(fetch.service, now)
            return False
        self.cancel()
        needed = ready[: self._needed]
        self._on_ready(needed, [f for f in limited if f not in needed])
        return True

    def _stop_waiting(self):
        """Refuse the call unless it can start now."""
        if self.try_turn(self._engine.now()):
            return
        self.cancel()
        for fetch in self._limited:
            fetch.reason = 'rate limits'
        self._on_refused()
