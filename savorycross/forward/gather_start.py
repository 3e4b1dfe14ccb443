"""Starts a call to many services whose targets state limits.

Load pattern: all targets of several shards take fewer requests than callers
send. If each part waited for its own token, most calls would get some of
those that they need, and targets would work on calls that then fail. So a
call waits without holding any token until enough services allow a send at
once, and is refused if they do not in time.
"""

from savorycross.forward import fetch as fetches
from savorycross.overload import waiting_line

# Services for which a call borrows tokens at the same time.
MAX_BORROWERS = 4


class GatherStart:
    """Waits until the limits of targets allow enough sends of a call.

    It waits in the lines of services that lack tokens.

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
        self.workspace = call.workspace
        self._urgency = call.urgency(route)
        self._limited = limited
        self._needed = needed
        self._objective_at = objective_at
        self._end_at = end_at
        self._wait_until = fetches.find_token_wait_end(route, call.received_at)
        self._on_ready = on_ready
        self._on_refused = on_refused
        self._timer = None
        self._services = []

    def start(self):
        """Start the call now, or wait; calls that wait already go first."""
        if self._needed <= 0:
            self._on_ready([], self._limited)
            return
        engine = self._engine
        now = engine.now()
        self._timer = engine.timers.call_at(
            self._wait_until, self._stop_waiting
        )
        services = [f.service for f in self._limited]
        busy = next((s for s in services if engine.line(s)), None)
        if busy is None:
            self.try_turn(now)
            return
        self._wait_in([busy], now)
        engine.advance_line(busy, now)

    def cancel(self):
        """Wait no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._wait_in([], self._engine.now())

    def place(self):
        """Return the Place in the lines."""
        is_late = self._engine.now() > self._objective_at
        return waiting_line.Place(
            self._urgency, self._needed, self._end_at, is_late
        )

    def try_turn(self, now):
        """Start the call if enough services allow it; return whether so.

        The services whose limits allow most are asked.
        """
        lacking = self._find_lacking(now)
        spare = len(self._limited) - self._needed
        if len(lacking) > spare:
            borrowers = self._sort(lacking, now)[: len(lacking) - spare]
            for fetch in borrowers:
                self._engine.borrow(fetch.service, now)
            self._wait_in([f.service for f in borrowers], now)
            return False
        self.cancel()
        ready = [f for f in self._limited if f not in lacking]
        ready = self._sort(ready, now)
        needed, others = ready[: self._needed], ready[self._needed :]
        self._on_ready(needed, others + lacking)
        return True

    def _wait_in(self, services, now):
        """Wait in the lines of some services, and in no others."""
        for service in self._services:
            if service not in services:
                self._engine.line(service).leave(self)
        for service in services:
            self._engine.join_line(service, self, now)
        self._services = services

    def _find_lacking(self, now):
        """Return the Fetches that cannot send now.

        Once the call cannot start, only a few more of them are looked for.
        They come first at the next turn, as they probably lack tokens still.
        """
        spare = len(self._limited) - self._needed
        lacking = []
        for fetch in self._limited:
            if not self._engine.may_start(fetch.service, now):
                lacking.append(fetch)
            if len(lacking) >= spare + MAX_BORROWERS:
                break
        ready = [f for f in self._limited if f not in lacking]
        self._limited = lacking + ready
        return lacking

    def _sort(self, limited, now):
        """Return Fetches, those first whose limits allow most sends."""
        return sorted(
            limited, key=lambda f: -self._engine.count_tokens(f.service, now)
        )

    def _stop_waiting(self):
        """Refuse the call unless it can start now."""
        if self.try_turn(self._engine.now()):
            return
        self.cancel()
        for fetch in self._limited:
            fetch.reason = 'rate limits'
        self._on_refused()
