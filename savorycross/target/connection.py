"""An HTTP/1.1 connection to a target that carries one request at a time."""

import collections
import dataclasses

import httptools
import trio

from savorycross import errors
from savorycross.wire import status_line

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BYTES = 65536
MAX_BODY_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and its reply.

    :param key: value of the request's attempt header, which the reply must
        echo.
    :param context: whatever the sender associates with the request.
    :param sent_at: runtime clock time at which the request was sent.
    :param code: HTTP status code of the reply; 0 until it is complete.
    :param headers: headers of the reply by lower-case name, as bytes.
    """

    key: bytes
    context: object
    sent_at: float = 0.0
    code: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''


class Connection:
    """An HTTP connection that carries one exchange at a time.

    The connection is reused only after a complete reply that echoes the
    key of its request; anything else closes it.

    :param stream: connected trio stream.
    :param on_complete: called with the connection and an Exchange whose
        reply is complete.
    """

    def __init__(self, stream, on_complete):
        self.boot = ''
        self.is_open = True
        self._stream = stream
        self._on_complete = on_complete
        self._pending = None
        self._chunks = collections.deque()
        self._body_bytes = 0
        self._scope = trio.CancelScope()
        self._parser = httptools.HttpResponseParser(self)

    @property
    def pending(self):
        """The exchange that waits for its reply, or None."""
        return self._pending

    async def send(self, exchange, data, deadline):
        """Write the request of an exchange.

        :param data: the encoded request.
        :param deadline: runtime clock time, in seconds, at which the
            connection is closed if the reply is not complete.
        """
        self._pending = exchange
        exchange.sent_at = trio.current_time()
        self._scope.deadline = deadline
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._scope.cancel()

    def close(self):
        """Cancel ``run``, which then closes the socket."""
        self.is_open = False
        self._scope.cancel()

    async def run(self):
        """Read replies until the connection ends.

        :returns: True if it ended because it was closed or its deadline
            passed; False if the target ended it or an error occurred.
        """
        is_cancelled = True
        with self._scope:
            try:
                await self._read()
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                httptools.HttpParserError,
                errors.TargetProtocolError,
            ):
                pass
            is_cancelled = False
        self.is_open = False
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)
        return is_cancelled

    async def _read(self):
        while True:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return
            if self._pending is None:
                raise errors.TargetProtocolError('reply without a request')
            self._parser.feed_data(data)
            if not self.is_open:
                return

    def on_headers_complete(self):
        """Refuse an invalid status line; called by the parser."""
        status_line.check(self._parser)

    def on_header(self, name, value):
        """Store a header of the reply; called by the parser."""
        self._pending.headers[name.lower()] = value

    def on_body(self, body):
        """Store a fragment of the body; called by the parser."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            raise errors.TargetProtocolError('reply is too long')
        self._chunks.append(body)

    def on_message_complete(self):
        """Pass on the complete reply; called by the parser."""
        exchange = self._pending
        if exchange is None:
            raise errors.TargetProtocolError('second reply')
        if exchange.headers.get(b'x-attempt') != exchange.key:
            raise errors.TargetProtocolError('reply to another request')
        exchange.code = self._parser.get_status_code()
        exchange.body = b''.join(self._chunks)
        self._chunks.clear()
        self._body_bytes = 0
        self._pending = None
        self._scope.deadline = float('inf')
        if not self._parser.should_keep_alive():
            self.is_open = False
        self._on_complete(self, exchange)


async def connect(host, port):
    """Return a connected TCP stream.

    :raises OSError: if the connection cannot be made.
    :raises trio.TooSlowError: after ``CONNECT_TIMEOUT_S``.
    """
    with trio.fail_after(CONNECT_TIMEOUT_S):
        return await trio.open_tcp_stream(host, port)
