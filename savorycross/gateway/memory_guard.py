"""Keeps the bytes that an instance holds for others within their limit."""

import trio

from savorycross.overload import memory_relief

# Share of the machine's memory for these bytes. The rest is for the
# interpreter, connections, and copies that are made in passing.
MEMORY_SHARE = 0.25
# Seconds until another choice, if the last one could not free enough.
RETRY_INTERVAL_S = 0.1
# Seconds after which refused callers may return.
RETURN_S = 1.0


class MemoryGuard:
    """Frees bytes of callers that delay their requests or replies.

    Implements ``wire.server.Guard``.

    :param buffers: Buffers of all connections.
    :param make_refusal: see ``forward.call.Dialect``.
    :param log: EventLog.
    :param metrics: Registry.
    """

    def __init__(self, buffers, make_refusal, log, metrics):
        self.servers = ()
        self._buffers = buffers
        self._make_refusal = make_refusal
        self._log = log
        self._metrics = metrics
        self._is_short = False
        self._next_choice_at = 0.0

    def set_memory(self, memory_bytes):
        """Set the limit to a share of the machine's memory."""
        self._buffers.set_limit(int(MEMORY_SHARE * memory_bytes))

    def check(self):
        """Free bytes if memory is short; called at regular times."""
        if self._buffers.is_short:
            self.relieve()
        elif self._is_short:
            self._is_short = False
            self._log.event('memory.enough', **self._buffers.by_holder())

    def relieve(self):
        """Free bytes of callers that delay their requests or replies."""
        now = trio.current_time()
        if now < self._next_choice_at:
            return
        buffers = self._buffers
        if not self._is_short:
            self._is_short = True
            self._log.event(
                'memory.short',
                limit=buffers.limit_bytes,
                **buffers.by_holder(),
            )
        low_bytes = memory_relief.LOW_SHARE * buffers.short_bytes
        held = [h for server in self.servers for h in server.list_held()]
        relief = memory_relief.choose(held, buffers.count - low_bytes, now)
        for connection in relief.refused:
            connection.refuse_unfinished()
        for connection in relief.closed:
            self._metrics.count('shed', reason='unread')
            connection.close()
        if buffers.count > low_bytes:
            self._next_choice_at = now + RETRY_INTERVAL_S

    def make_refusal(self, reason):
        """Return the reply to a request that has not been handled.

        :param reason: 'new', or 'unfinished' if it was being read.
        """
        self._metrics.count('shed', reason=reason)
        return self._make_refusal(503, RETURN_S)
