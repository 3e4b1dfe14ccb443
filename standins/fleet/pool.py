"""Connections of a modelled instance to a modelled target."""

# Delay of one way between an instance and a target, and what a handshake adds.
DELAY_S = 0.0005
HANDSHAKE_S = 0.003
IDLE_S = 4.0


class ModelPool:
    """Takes the place of ``wire.pool.Pool``.

    :param target: ModelTarget.
    :param scheduler: Scheduler.
    :param link_s: seconds of one way between their data centres.
    """

    def __init__(self, target, scheduler, link_s=0.0):
        self.limit = 1
        self.target = target
        self.scheduler = scheduler
        self.delay_s = DELAY_S + link_s
        self._busy = set()
        self._idle_since = []

    @property
    def size(self):
        """Number of open connections."""
        return len(self._busy) + len(self._idle_since)

    @property
    def has_room(self):
        """Whether an exchange can be sent now."""
        return bool(self._idle_since) or len(self._busy) < self.limit

    def send(self, exchange, max_idle_s=None, avoided=()):
        """Send an exchange; return its connection, or None if full."""
        if not self.has_room:
            return None
        connect_s = 0.0
        if self._idle_since:
            self._idle_since.pop()
        else:
            connect_s = 2 * self.delay_s + HANDSHAKE_S
        connection = ModelConnection(self, exchange, connect_s)
        self._busy.add(connection)
        return connection

    def release(self, connection, is_reusable):
        """Take back a connection whose exchange has ended."""
        self._busy.discard(connection)
        if is_reusable:
            self._idle_since.append(self.scheduler.time)

    def prune(self, now):
        """Close connections that have been idle for too long."""
        self._idle_since = [t for t in self._idle_since if now - t < IDLE_S]

    def close(self):
        """Close all idle connections."""
        self._idle_since.clear()


class ModelConnection:
    """A connection that carries one exchange.

    ``was_sent`` tells whether the connection was made.
    """

    def __init__(self, pool, exchange, connect_s):
        self.was_sent = not connect_s
        self._pool = pool
        self._exchange = exchange
        self._job = None
        self._sent_at = pool.scheduler.time
        pool.scheduler.call_later(connect_s + pool.delay_s, self._arrive)

    def close(self):
        """Close the connection, which ends the target's work."""
        if self._exchange is None:
            return
        self._exchange = None
        self._pool.release(self, False)
        if self._job is not None:
            job = self._job
            target = self._pool.target
            self._pool.scheduler.call_later(
                self._pool.delay_s, lambda: target.cancel(job)
            )

    def _arrive(self):
        if self._exchange is None:
            return
        target = self._pool.target
        if target.is_down:
            self._pool.scheduler.call_later(self._pool.delay_s, self._lose)
            return
        if target.is_dark and not self.was_sent:
            return
        self.was_sent = True
        self._job = target.arrive(
            self._exchange.data, self._sent_at, self._reply_later
        )

    def _lose(self):
        if self._exchange is None:
            return
        exchange, self._exchange = self._exchange, None
        self._pool.release(self, False)
        exchange.on_lost(self.was_sent, 'connect: refused')

    def _reply_later(self, reply):
        self._pool.scheduler.call_later(
            self._pool.delay_s, lambda: self._reply(reply)
        )

    def _reply(self, reply):
        if self._exchange is None:
            return
        exchange, self._exchange = self._exchange, None
        self._job = None
        self._pool.release(self, True)
        exchange.on_reply(reply)
