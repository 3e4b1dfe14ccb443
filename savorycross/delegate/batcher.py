"""Groups the first sends of a call into one batch for each delegate."""

import xxhash

from savorycross.delegate import batch
from savorycross.forward import attempt as attempts
from savorycross.forward import call as calls

# A single send takes fewer bytes without a delegate.
MIN_SENDS = 2
# Requests with longer bodies are sent to each target.
MAX_BODY_BYTES = 65536
# Makes the draw independent of the data centre that a call prefers.
DRAW_SEED = 1


class Batcher:
    """Collects the first sends of a call by delegate.

    :param engine: Engine.
    :param call: Call.
    :param route: Route.
    :param end_at: runtime clock time in seconds after which replies are of
        no use.
    :param gather: object with ``pause`` and ``resume``; between these two
        calls it collects parts without deciding on the answer.

    ``draw`` is for ``locality.Locality.choose``.
    """

    def __init__(self, engine, call, route, end_at, gather):
        self._engine = engine
        self._call = call
        self._route = route
        self._end_at = end_at
        self._gather = gather
        self._is_open = len(call.body) <= MAX_BODY_BYTES
        self._attempts_by_delegate = {}
        # The same for all parts, which then leave for the same data centre in
        # few batches.
        self.draw = xxhash.xxh32_intdigest(call.id, seed=DRAW_SEED) / 2**32
        self.preferred = None
        if self._is_open:
            self.preferred = engine.delegates.choose_data_centre(
                call.id, engine.now()
            )

    def add(self, fetch, state, now):
        """Return an Attempt that waits for ``send``, or None.

        :param fetch: Fetch that the send belongs to.
        :param state: TargetState of the target.
        :returns: None if the fetch has to send directly.
        """
        target = state.target
        if not self._is_open:
            return None
        if target.data_centre == self._engine.data_centre:
            return None
        delegate = self._engine.delegates.select(target.data_centre, now)
        if delegate is None:
            return None
        attempt = attempts.Attempt(fetch, state, b'', now)
        self._attempts_by_delegate.setdefault(delegate, []).append(attempt)
        return attempt

    def send(self):
        """Send the collected attempts; later calls of ``add`` return None."""
        self._is_open = False
        by_delegate, self._attempts_by_delegate = (
            self._attempts_by_delegate,
            {},
        )
        now = self._engine.now()
        for delegate, collected in by_delegate.items():
            if len(collected) < MIN_SENDS:
                for attempt in collected:
                    _send_directly(attempt, now)
                continue
            exchange = batch.BatchExchange(
                self._engine, delegate, collected, self._gather
            )
            exchange.send(self._call, self._route, self._end_at - now)


def _send_directly(attempt, now):
    attempt.data = attempt.fetch.encode(attempt.state, now)
    if not attempt.send():
        attempt.on_verdict(calls.Verdict.NOT_RUN, None)
