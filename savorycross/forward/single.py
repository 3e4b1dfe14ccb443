"""A call that one target answers."""

from savorycross.forward import call as calls
from savorycross.forward import fetch as fetches

# A call that found no target waits this share of its objective for one.
PATIENCE = 0.2


class Single:
    """Runs a call at one target and passes its reply on.

    :param engine: Engine.
    :param route: Route.
    :param service: name of the service.
    :param on_end: called with the Reply and an outcome name.
    """

    def __init__(self, engine, call, route, service, end_at, on_end):
        self._engine = engine
        self._on_end = on_end
        self._end_at = end_at
        patient_until = call.received_at + PATIENCE * route.objective_s
        self._fetch = fetches.Fetch(
            engine, call, route, service, end_at, patient_until, self._done
        )
        self._timer = None
        self._is_over = False

    def start(self):
        """Send the call."""
        self._timer = self._engine.timers.call_at(self._end_at, self._time_out)
        self._fetch.start()

    def cancel(self):
        """Stop, as the caller is gone."""
        self._is_over = True
        self._timer.cancel()
        self._fetch.cancel()

    @property
    def detail(self):
        """Names and values that explain the outcome."""
        found = self._fetch
        return {
            'service': found.service,
            'sends': found.sends,
            'reason': found.reason,
            'targets': sorted(found.tried),
        }

    def _time_out(self):
        fetch = self._fetch
        if not self._is_over:
            if fetch.sends:
                reply = self._engine.dialect.make_refusal(504)
                self._end(reply, 'timeout')
            else:
                self._refuse()
        fetch.cancel()

    def _done(self, fetch):
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

    def _refuse(self):
        reply = self._engine.dialect.make_refusal(503, calls.RETRY_AFTER_S)
        self._end(reply, 'refused')

    def _end(self, reply, outcome):
        self._is_over = True
        self._on_end(reply, outcome)
