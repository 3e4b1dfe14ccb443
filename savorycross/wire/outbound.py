"""The client's side of an HTTP connection."""

import math
import re
import typing

import httptools
import trio

from savorycross.events import failure
from savorycross.wire import messages
from savorycross.wire import reply_size
from savorycross.wire import status_line
from savorycross.wire import transport as transports

CONNECT_TIMEOUT_S = 1.0
# Idle time of a connection whose peer states none in a Keep-Alive header.
DEFAULT_IDLE_S = 4.0
# Subtracted from the stated idle time, because a request must reach the peer
# before the peer closes the connection.
IDLE_MARGIN_S = 0.5

# Longer numbers would not fit into a time.
_KEEP_ALIVE = re.compile(rb'timeout=(\d{1,9})')


class Exchange(typing.Protocol):
    """A request with the callbacks for its reply.

    Exactly one of ``on_reply`` and ``on_lost`` is called, unless the
    connection is closed by its own side.

    :param data: the encoded request, which is dropped at the end.
    :param is_head: whether the method is HEAD, so that the reply has no body.
    :param on_chunk: called with each chunk of a successful reply as it
        arrives, or None if the body is wanted as a whole.
    """

    data: bytes
    is_head: bool
    on_chunk: typing.Callable[[bytes], None] | None

    def accepts(self, reply) -> bool:
        """Return whether a reply belongs to the request."""

    def on_reply(self, reply) -> None:
        """Process the reply."""

    def on_lost(self, was_sent, reason) -> None:
        """Process the end of the connection before a reply.

        :param was_sent: whether any byte of the request was written.
        :param reason: why the connection ended, as text.
        """


class Connection:
    """A client connection that carries one exchange at a time.

    A reply to another request is dropped; the connection is then closed
    after its exchange. Bytes outside of a reply close it at once.

    ``idle_since`` and ``idle_until`` are runtime clock times in seconds: when
    the connection became idle, and when it must no longer be reused.

    :param address: host and port of the peer.
    :param nursery: nursery for the connection's tasks.
    :param on_idle: called with the connection when it can be reused.
    :param on_closed: called with the connection when it has ended.
    :param buffers: Buffers of all connections.
    """

    def __init__(self, address, nursery, on_idle, on_closed, buffers):
        self.address = address
        self.idle_since = math.inf
        self.idle_until = math.inf
        self._nursery = nursery
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._exchange = None
        self._transport = None
        self._was_sent = False
        self._must_close = False
        self._scope = trio.CancelScope()
        self._parser = httptools.HttpResponseParser(self)
        self._size = reply_size.ReplySize(buffers)
        self._buffers = buffers
        self._sent_bytes = 0
        self._reset()

    @property
    def was_sent(self):
        """Whether any byte of the current request was written."""
        return self._was_sent

    def start(self, exchange):
        """Send the request of an exchange once the connection is made."""
        self._exchange = exchange
        self._sent_bytes = len(exchange.data)
        self._buffers.sends += self._sent_bytes
        if self._transport is not None:
            self._send()

    def close(self):
        """Close the connection without calling back its exchange."""
        self._end_exchange()
        self._scope.cancel()
        if self._transport is not None:
            self._transport.close()

    async def run(self):
        """Connect and read replies until the connection ends."""
        reason = 'closed'
        try:
            with self._scope:
                reason = await self._connect_and_read()
        except Exception as exc:
            reason = 'internal error'
            failure.report('target connection', exc)
        finally:
            self._end(reason)

    def _end(self, reason):
        if self._transport is not None:
            self._transport.close()
        self._drop_body()
        self._size.reset()
        self._on_closed(self)
        exchange = self._end_exchange()
        if exchange is None:
            return
        try:
            exchange.on_lost(self._was_sent, reason)
        except Exception as exc:
            failure.report('end of a target connection', exc)

    def _end_exchange(self):
        """Return the exchange, which ends, if there is one."""
        exchange, self._exchange = self._exchange, None
        self._buffers.sends -= self._sent_bytes
        self._sent_bytes = 0
        if exchange is not None:
            exchange.data = b''
        return exchange

    async def _connect_and_read(self):
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                self._transport = await transports.connect(
                    self.address, self._nursery, self._buffers
                )
        except trio.TooSlowError:
            return 'connect timeout'
        except OSError as exc:
            return f'connect: {exc.strerror or exc}'
        if self._exchange is None:
            return 'closed'
        self._send()
        try:
            return await self._read()
        except (OSError, trio.ClosedResourceError):
            return 'reset'
        except httptools.HttpParserError:
            return 'no valid reply'

    def _send(self):
        self._was_sent = True
        self.idle_until = math.inf
        self._size.reset()
        self._transport.write(self._exchange.data)

    async def _read(self):
        while True:
            data = await self._transport.read(self._count_allowed)
            if not data:
                return self._finish()
            if self._exchange is None:
                return 'bytes without a request'
            self._size.add_received(len(data))
            self._parser.feed_data(data)
            # It would last until the next bytes arrive.
            del data
            if self._exchange is not None:
                self._size.check_received()
            if self._must_close and self._exchange is None:
                return 'spent'

    def _count_allowed(self):
        """Return how many bytes may be read while memory is short."""
        if self._exchange is not None and self._size.must_wait:
            return 0
        return transports.RECEIVE_BYTES

    def _finish(self):
        """Complete a reply whose end is the end of its connection."""
        if self._has_head and not self._has_length:
            self._must_close = True
            self._complete()
        return 'end of stream'

    def _reset(self):
        self._headers = []
        self._drop_body()
        self._has_head = False
        self._has_length = False

    def _drop_body(self):
        self._body = bytearray()
        self._size.release_body()

    def on_message_begin(self):
        """Prepare for a reply; called by the parser."""
        if self._exchange is None:
            self._must_close = True
        self._reset()

    def on_header(self, name, value):
        """Store a header; called by the parser."""
        self._size.add_header(len(name) + len(value))
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Record whether the headers say where the reply ends.

        Called by the parser. A reply to a HEAD request is complete here.
        """
        status_line.check(self._parser)
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._has_head = True
        self._has_length = status in (204, 304) or any(
            name.lower() in (b'content-length', b'transfer-encoding')
            for name, _ in self._headers
        )
        if self._exchange is not None and self._exchange.is_head:
            self._must_close = True
            self._complete()

    def on_body(self, body):
        """Store a fragment of the body; called by the parser."""
        self._size.add_body(len(body))
        # Objects for small fragments would take several times their bytes.
        self._body += body

    def on_chunk_complete(self):
        """Pass on a chunk if the exchange has an ``on_chunk`` callback."""
        exchange = self._exchange
        if exchange is None or exchange.on_chunk is None:
            return
        if not self._body or self._parser.get_status_code() != 200:
            return
        chunk = bytes(self._body)
        self._drop_body()
        exchange.on_chunk(chunk)

    def on_message_complete(self):
        """Complete a reply, unless it is informational (status 1xx)."""
        if self._parser.get_status_code() < 200:
            self._reset()
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._complete()

    def _complete(self):
        exchange = self._exchange
        self._has_head = False
        if exchange is None:
            return
        reply = messages.Reply(
            self._parser.get_status_code(),
            tuple(self._headers),
            bytes(self._body),
        )
        self._drop_body()
        if not exchange.accepts(reply):
            self._must_close = True
            return
        self._end_exchange()
        self._was_sent = False
        if not self._must_close and not self._transport.has_pending:
            self.idle_since = trio.current_time()
            self.idle_until = self.idle_since + _parse_idle_s(reply)
            self._on_idle(self)
        else:
            self._must_close = True
        exchange.on_reply(reply)


def _parse_idle_s(reply):
    value = reply.header(b'keep-alive')
    match = _KEEP_ALIVE.search(value) if value is not None else None
    if match is None:
        return DEFAULT_IDLE_S
    return int(match[1]) - IDLE_MARGIN_S
