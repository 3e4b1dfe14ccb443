"""Connections to one address."""

import trio

from savorycross.wire import outbound


class Pool:
    """Hands exchanges to idle or new connections.

    :param address: host and port.
    :param nursery: nursery for the connections.
    """

    def __init__(self, address, nursery):
        self.address = address
        self.limit = 1
        self.opened = 0
        self._nursery = nursery
        self._idle = []
        self._all = set()

    @property
    def size(self):
        """Number of open connections."""
        return len(self._all)

    @property
    def has_room(self):
        """Whether an exchange can be sent now."""
        return bool(self._idle) or len(self._all) < self.limit

    def send(self, exchange, max_idle_s=None):
        """Send an exchange and return its connection, or None if full.

        :param max_idle_s: seconds of idle time beyond which a connection
            is not used again.
        """
        found = self._take_idle(max_idle_s)
        if found is None:
            if len(self._all) >= self.limit:
                return None
            found = self._open()
        found.start(exchange)
        return found

    def prune(self, now):
        """Close connections that were idle for too long."""
        kept = []
        for found in self._idle:
            if found.idle_until > now:
                kept.append(found)
            else:
                found.close()
        self._idle = kept

    def close(self):
        """Close idle connections; busy ones end with their exchange."""
        idle, self._idle = self._idle, []
        for found in idle:
            found.close()

    def _take_idle(self, max_idle_s):
        now = trio.current_time()
        while self._idle:
            found = self._idle.pop()
            if found.idle_until <= now:
                found.close()
                self._all.discard(found)
                continue
            if max_idle_s is None or now - found.idle_since <= max_idle_s:
                return found
            self._idle.append(found)
            self._make_room()
            return None
        return None

    def _make_room(self):
        """Close the oldest idle connection if no other can be opened."""
        if len(self._all) >= self.limit:
            oldest = self._idle.pop(0)
            oldest.close()
            self._all.discard(oldest)

    def _open(self):
        found = outbound.Connection(
            self.address, self._nursery, self._on_idle, self._on_closed
        )
        self._all.add(found)
        self.opened += 1
        self._nursery.start_soon(found.run)
        return found

    def _on_idle(self, connection):
        self._idle.append(connection)

    def _on_closed(self, connection):
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
