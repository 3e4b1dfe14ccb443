"""Starts a call to many services, some of which have no room now.

Load pattern: a shard that a call cannot do without has a single slow target
left. Calls that send their other parts at once keep the targets of these
busy, and most of them fail all the same. So a call waits in the lines of such
services without any send, and is refused as soon as it is certain to miss its
deadline.
"""

from savorycross.forward import route_latency
from savorycross.overload import turn_chance
from savorycross.overload import waiting_line

# Part of the latency objective after which a call that waits is judged again.
REVIEW_PART = 0.25
# A review takes place this much before, so that the caller has the refusal by
# then.
REVIEW_MARGIN_S = 0.004
# Most answers take less than this multiple of the mean latency.
LATENCY_MULTIPLE = 1.4
# Later reviews follow at this interval.
REVIEW_INTERVAL_S = 0.05


class SlotWait:
    """Waits until enough services of a call have room.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param full: Fetches of services without room.
    :param needed: number of them that the call cannot do without.
    :param objective_at: runtime clock time of the latency objective.
    :param end_at: runtime clock time of the call's deadline.
    :param on_ready: called with the Fetches that are needed and can send now,
        and with the others.
    :param on_refused: called with the runtime clock time at which the call
        may succeed, if it cannot in time.
    """

    def __init__(
        self,
        engine,
        call,
        route,
        full,
        needed,
        objective_at,
        end_at,
        on_ready,
        on_refused,
    ):
        self.workspace = call.workspace
        self._engine = engine
        self._urgency = call.urgency(route)
        self._full = full
        self._needed = needed
        self._objective_at = objective_at
        self._late_at = objective_at
        self._end_at = end_at
        self._review_at = find_review_at(call, route)
        self._on_ready = on_ready
        self._on_refused = on_refused
        self._timer = None
        self._services = []

    def start(self):
        """Join the lines, or refuse the call."""
        now = self._engine.now()
        for fetch in self._full:
            line = self._engine.line(fetch.service)
            line.arrivals.record(self._urgency, now)
        self._wait(self._full, now)
        self._review()

    def cancel(self):
        """Wait no longer."""
        if self._timer is not None:
            self._timer.cancel()
        for service in self._services:
            self._engine.line(service).leave(self)
        self._services = []

    def place(self):
        """Return the Place in the lines."""
        is_late = self._engine.now() > self._late_at
        return waiting_line.Place(
            self._urgency, self._needed, self._end_at, is_late
        )

    def try_turn(self, now):
        """Start the call if enough services have room; return whether so."""
        has_room = self._engine.has_room
        ready = [f for f in self._full if has_room(f.service, now)]
        if len(ready) < self._needed:
            return False
        self.cancel()
        needed = ready[: self._needed]
        others = [f for f in self._full if f not in needed]
        self._on_ready(needed, others)
        return True

    def _wait(self, fetches, now):
        self._services = [f.service for f in fetches]
        for service in self._services:
            self._engine.join_line(service, self, now)

    def _find_late_at(self, now):
        """Return from when on calls go first that arrive later.

        A turn that comes later is probably wasted on this call.
        """
        latencies = sorted(
            self._engine.expect_latency_s(f.service) for f in self._full
        )
        margin_s = route_latency.ANSWER_MARGIN_S + (
            LATENCY_MULTIPLE * latencies[self._needed - 1]
        )
        if self._objective_at - margin_s > now:
            return self._objective_at - margin_s
        return self._end_at - margin_s

    def _review(self):
        """Refuse the call if its chance is negligible, or go on waiting."""
        now = self._engine.now()
        self._late_at = self._find_late_at(now)
        prospects = [
            self._engine.find_prospect(
                service,
                self,
                self._late_at,
                now,
            )
            for service in self._services
        ]
        chances = sorted(
            1.0 if p is None else turn_chance.estimate_chance(p)
            for p in prospects
        )
        is_early = now <= self._review_at
        least = turn_chance.MIN_CHANCE
        if not is_early:
            least = turn_chance.MIN_LATE_CHANCE
        if chances[-self._needed] >= least:
            next_at = now + REVIEW_INTERVAL_S
            if now < self._review_at:
                next_at = min(next_at, self._review_at)
            self._timer = self._engine.timers.call_at(next_at, self._review)
            return
        self.cancel()
        for fetch in self._full:
            fetch.reason = 'no slots'
        times = sorted(
            0.0 if p is None else turn_chance.expect_turn_s(p)
            for p in prospects
        )
        self._on_refused(now + times[self._needed - 1])


def find_review_at(call, route):
    """Return when a call is judged that may be refused early until then.

    :returns: runtime clock time in seconds.
    """
    wait_s = REVIEW_PART * route.objective_s - REVIEW_MARGIN_S
    return call.received_at + wait_s
