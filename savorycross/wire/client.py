"""Calls that wait for their reply."""

import trio

from savorycross import errors
from savorycross.wire import messages
from savorycross.wire import pool

MAX_CONNECTIONS = 4


class _Call:
    """An exchange that a task waits for."""

    is_head = False
    on_piece = None

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
    """Sends requests to one address.

    :param address: host and port.
    :param nursery: nursery for the connections.
    """

    def __init__(self, address, nursery):
        self._pool = pool.Pool(address, nursery)
        self._pool.limit = MAX_CONNECTIONS
        self._host = b'%s:%d' % (address[0].encode(), address[1])

    async def call(self, method, target, body=b'', timeout_s=1.0, headers=()):
        """Return the Reply to a request.

        :raises ConnectionLostError: if none arrives in time.
        """
        headers = ((b'Host', self._host), *headers)
        call = _Call(messages.encode_request(method, target, headers, body))
        connection = self._pool.send(call)
        if connection is None:
            raise errors.ConnectionLostError('all connections are in use')
        with trio.move_on_after(timeout_s):
            await call.done.wait()
        if call.reply is not None:
            return call.reply
        if not call.done.is_set():
            connection.close()
            raise errors.ConnectionLostError(f'no reply in {timeout_s} s')
        raise errors.ConnectionLostError(call.reason)

    def close(self):
        """Close idle connections."""
        self._pool.close()
