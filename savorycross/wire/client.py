"""An HTTP client whose calls wait for their reply."""

import trio

from savorycross import errors
from savorycross.wire import messages
from savorycross.wire import pool

MAX_CONNECTIONS = 4


class _Call:
    """An exchange whose end a task waits for; see ``outbound.Exchange``."""

    is_head = False
    on_chunk = None

    def __init__(self, data):
        self.data = data
        self.reply = None
        self.reason = ''
        self.done = trio.Event()

    def accepts(self, reply):
        return True

    def on_reply(self, reply):
        self.reply = reply
        self.done.set()

    def on_lost(self, was_sent, reason):
        self.reason = reason
        self.done.set()


class Client:
    """Sends requests to one address and waits for the replies.

    :param address: host and port.
    :param nursery: nursery for the tasks of the connections.
    """

    def __init__(self, address, nursery):
        self._pool = pool.Pool(address, nursery)
        self._pool.limit = MAX_CONNECTIONS
        self._host = b'%s:%d' % (address[0].encode(), address[1])

    @property
    def connection_count(self):
        """Number of open connections."""
        return self._pool.size

    async def call(self, method, target, body=b'', timeout_s=1.0, headers=()):
        """Send a request and return its Reply.

        :param target: path and query, as bytes.
        :param timeout_s: seconds to wait for the reply.
        :param headers: pairs of name and value, sent after ``Host``.
        :raises ConnectionLostError: if no reply arrives in time, or no
            connection is available.
        """
        headers = ((b'Host', self._host), *headers)
        call = _Call(messages.encode_request(method, target, headers, body))
        connection = self._pool.send(call)
        if connection is None:
            raise errors.ConnectionLostError('all connections are in use')
        try:
            with trio.move_on_after(timeout_s):
                await call.done.wait()
        finally:
            # The caller may be cancelled before its own timeout ends.
            if not call.done.is_set():
                connection.close()
        if call.reply is not None:
            return call.reply
        raise errors.ConnectionLostError(
            call.reason or f'no reply in {timeout_s} s'
        )

    def close(self):
        """Close idle connections; busy ones finish their exchange."""
        self._pool.close()
