"""A call that one service answers."""

from savorycross.forward import fetch as fetches
from savorycross.forward import slot_wait
from savorycross.overload import turn_chance

# Share of the latency objective for which a call waits for a usable target.
TARGET_WAIT_SHARE = 0.2


class SingleCall:
    """Forwards a call to a target of one service and returns its reply.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param service: name of the service.
    :param end_at: runtime clock time after which the call fails.
    :param on_end: called with the Reply and the name of the outcome.
    """

    def __init__(self, engine, call, route, service, end_at, on_end):
        self._engine = engine
        self._on_end = on_end
        self._end_at = end_at
        wait_for_target_until = (
            call.received_at + TARGET_WAIT_SHARE * route.objective_s
        )
        self._fetch = fetches.Fetch(
            engine,
            call,
            route,
            service,
            end_at,
            wait_for_target_until,
            self._on_fetch_done,
        )
        self._timer = None
        self._review_timer = None
        self._is_over = False

    def start(self):
        """Send the call to the service, or refuse it if it cannot wait."""
        self._timer = self._engine.timers.call_at(self._end_at, self.expire)
        self._fetch.start()
        if self._is_over or self._fetch.sends:
            return
        call, route = self._fetch.call, self._fetch.route
        line = self._engine.line(self._fetch.service)
        line.arrivals.record(call.urgency(route), self._engine.now())
        self._review_timer = self._engine.timers.call_at(
            slot_wait.find_review_at(call, route), self._review
        )
        self._review()

    def cancel(self):
        """Abandon the call, as the caller is gone."""
        self._is_over = True
        self._timer.cancel()
        self._stop_reviews()
        self._fetch.cancel()
        self._fetch.release()

    def expire(self):
        """End the call, as no time is left."""
        fetch = self._fetch
        if not self._is_over:
            if fetch.sends:
                reply = self._engine.dialect.make_refusal(504)
                self._end(reply, 'timeout')
            else:
                self._refuse()
        fetch.expire()

    @property
    def reason(self):
        """Why the latest send failed, or why the call was refused."""
        return self._fetch.reason

    @property
    def detail(self):
        """Names and values that explain the outcome, for the log."""
        fetch = self._fetch
        return {
            'service': fetch.service,
            'sends': fetch.sends,
            'reason': fetch.reason,
            'targets': sorted(fetch.tried),
        }

    def _on_fetch_done(self, fetch):
        if self._is_over:
            return
        if fetch.state is fetches.State.ANSWERED:
            self._end(fetch.reply, 'answered')
        elif fetch.reply is not None:
            self._end(fetch.reply, 'target_failed')
        elif fetch.may_have_run:
            reply = self._engine.dialect.make_refusal(502)
            self._end(reply, 'lost')
        else:
            self._refuse()

    def _review(self):
        """Refuse the call if it waits and its chance is negligible."""
        fetch = self._fetch
        if self._is_over or fetch.sends:
            return
        now = self._engine.now()
        prospect = self._engine.find_prospect(
            fetch.service, fetch, fetch.wait_for_target_until, now
        )
        if prospect is None:
            return
        chance = turn_chance.estimate_chance(prospect)
        if chance >= turn_chance.MIN_CHANCE:
            return
        fetch.cancel()
        fetch.reason = 'no slots'
        self._end_refused(now + turn_chance.expect_turn_s(prospect))

    def _stop_reviews(self):
        if self._review_timer is not None:
            self._review_timer.cancel()

    def _refuse(self):
        now = self._engine.now()
        outlook = self._engine.outlook(self._fetch.service, now, now)
        self._end_refused(0.0 if outlook.is_reachable else outlook.retry_at)

    def _end_refused(self, return_at):
        """Refuse the call, which no target has run.

        :param return_at: runtime clock time at which it may succeed.
        """
        reply = self._engine.make_refusal(
            self._fetch.call, self._fetch.route, return_at, self._end_at
        )
        self._end(reply, 'refused')

    def _end(self, reply, outcome):
        self._is_over = True
        self._stop_reviews()
        self._on_end(reply, outcome)
        self._fetch.release()
