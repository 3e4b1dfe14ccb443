"""Sends of one call that go through delegates."""

from savorycross.delegate import batch_exchange
from savorycross.forward import attempt as attempts
from savorycross.forward import call as calls

# A single send takes fewer bytes without a delegate.
MIN_SENDS = 2
# Requests with longer bodies are sent to each target.
MAX_BODY_BYTES = 65536


class Batcher:
    """Collects the first sends of a call by delegate.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param end_at: runtime clock time after which replies are of no use.
    :param group: object with ``pause`` and ``resume``; it takes no decision
        between them.
    """

    def __init__(self, engine, call, route, end_at, group):
        self._engine = engine
        self._call = call
        self._route = route
        self._end_at = end_at
        self._group = group
        self._is_open = len(call.body) <= MAX_BODY_BYTES
        self._waiting = {}
        self.preferred = None
        if self._is_open:
            self.preferred = engine.delegates.prefer(call.id, engine.now())

    def add(self, fetch, state, now):
        """Return an Attempt that waits for ``send``, or None.

        :returns: None if the fetch is to send itself.
        """
        target = state.target
        if not self._is_open:
            return None
        if target.data_centre == self._engine.data_centre:
            return None
        delegate = self._engine.delegates.find(target.data_centre, now)
        if delegate is None:
            return None
        found = attempts.Attempt(fetch, state, b'', now)
        self._waiting.setdefault(delegate, []).append(found)
        return found

    def send(self):
        """Send what has been collected; nothing more is."""
        self._is_open = False
        waiting, self._waiting = self._waiting, {}
        now = self._engine.now()
        for delegate, found in waiting.items():
            if len(found) < MIN_SENDS:
                for attempt in found:
                    _send_directly(attempt, now)
                continue
            made = batch_exchange.BatchExchange(
                self._engine, delegate, found, self._group
            )
            made.send(self._call, self._route, self._end_at - now)


def _send_directly(attempt, now):
    attempt.data = attempt.fetch.encode(attempt.state, now)
    if not attempt.send():
        attempt.on_verdict(calls.Verdict.NOT_RUN, None)
