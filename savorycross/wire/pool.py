"""A pool of HTTP connections to one address."""

import trio

from savorycross.wire import buffers as buffer_counts
from savorycross.wire import outbound


class Pool:
    """A pool that sends exchanges on idle or new connections.

    ``limit`` is the largest number of open connections.

    :param address: host and port.
    :param nursery: nursery for the tasks of the connections.
    :param buffers: Buffers that the pools of an instance share, or None for
        a pool of its own bound.
    """

    def __init__(self, address, nursery, buffers=None):
        self.address = address
        self.limit = 1
        self.opened_count = 0
        self._nursery = nursery
        self._buffers = buffers or buffer_counts.Buffers()
        self._idle = []
        self._connections = set()

    @property
    def size(self):
        """Number of open connections."""
        return len(self._connections)

    @property
    def has_room(self):
        """Whether an exchange can be sent now."""
        return bool(self._idle) or len(self._connections) < self.limit

    def send(self, exchange, max_idle_s=None, avoided=()):
        """Send an exchange.

        :param exchange: an outbound.Exchange.
        :param max_idle_s: seconds of idle time beyond which a connection
            is not reused; None for no such bound.
        :param avoided: connections that are not reused for it.
        :returns: the exchange's connection, or None if the pool is full.
        """
        conn = self._pop_idle(max_idle_s, avoided)
        if conn is None:
            if len(self._connections) >= self.limit:
                return None
            conn = self._open_connection()
        conn.start(exchange)
        return conn

    def prune(self, now):
        """Close connections whose idle time has ended.

        :param now: runtime clock time in seconds.
        """
        still_idle = []
        for conn in self._idle:
            if conn.idle_until > now:
                still_idle.append(conn)
            else:
                conn.close()
        self._idle = still_idle

    def close(self):
        """Close idle connections; busy ones finish their exchange."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def _pop_idle(self, max_idle_s, avoided):
        """Return the connection that became idle last and may be reused.

        If there is none, make room for a new one and return None.
        """
        now = trio.current_time()
        for conn in reversed(self._idle):
            if max_idle_s is not None and now - conn.idle_since > max_idle_s:
                break
            if conn.idle_until > now and conn not in avoided:
                self._idle.remove(conn)
                return conn
        self._evict_if_full()
        return None

    def _evict_if_full(self):
        """Close the oldest idle connection if the pool is full."""
        if self._idle and len(self._connections) >= self.limit:
            oldest = self._idle.pop(0)
            oldest.close()
            self._connections.discard(oldest)

    def _open_connection(self):
        conn = outbound.Connection(
            self.address,
            self._nursery,
            self._on_idle,
            self._on_closed,
            self._buffers,
        )
        self._connections.add(conn)
        self.opened_count += 1
        self._nursery.start_soon(conn.run)
        return conn

    def _on_idle(self, connection):
        self._idle.append(connection)

    def _on_closed(self, connection):
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
