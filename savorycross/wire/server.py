"""The side of a connection that takes requests."""

import collections
import dataclasses
import socket
import typing

import httptools
import trio

from savorycross.events import failure
from savorycross.wire import messages
from savorycross.wire import transport as transports

SWEEP_INTERVAL_S = 0.2
ACCEPT_BACKLOG = 1024
# A last reply may take this long to leave.
LINGER_S = 1.0
LINGER_CHECK_S = 0.01
# Requests sent ahead on one connection beyond this end it.
MAX_QUEUED_REQUESTS = 32
# Limits in force until a configuration names others.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 1 << 20
HEADER_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller sends and how long it takes.

    :param header_s: seconds from the first byte of a request to the end
        of its headers, and between two pieces of its body.
    :param idle_s: seconds without a request.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_BODY_BYTES
    header_s: float = HEADER_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S


class Running(typing.Protocol):
    """A request that is being handled."""

    def cancel(self) -> None:
        """Stop the work; the caller is gone."""


class Handler(typing.Protocol):
    """Handles requests."""

    def __call__(self, request, respond) -> Running | None:
        """Handle a request.

        :param respond: called once with the Reply, or with one Piece after
            the other until the last.
        """


class _LimitError(Exception):
    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Connection:
    """One caller's connection; it handles one request at a time."""

    def __init__(self, transport, server, now):
        self._transport = transport
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue = collections.deque()
        self._running = None
        self._current = None
        self._is_reading = False
        self._is_streaming = False
        self._head_bytes = 0
        self._touched_at = now
        self._reset()

    @property
    def is_busy(self):
        """Whether a request is being handled or read."""
        return self._current is not None or self._is_reading

    async def run(self):
        """Take requests until the connection ends."""
        try:
            while True:
                data = await self._transport.read()
                if not data:
                    return
                self._feed(data)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as exc:
            failure.report('caller connection', exc)
        finally:
            self._end()

    def close(self):
        """Close the connection."""
        self._transport.close()

    def sweep(self, now, limits):
        """End the connection if its time is over."""
        waited = now - self._touched_at
        if self._current is not None:
            return
        if self._is_reading:
            if waited > limits.header_s:
                self._reject(408)
            return
        if waited > limits.idle_s:
            self.close()

    def _feed(self, data):
        if not self._is_reading:
            self._touched_at = trio.current_time()
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if not self._has_head and self._is_reading:
                self._check_head(self._head_bytes)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except _LimitError as exc:
            self._reject(exc.status)
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            status = cause.status if isinstance(cause, _LimitError) else 400
            self._reject(status)

    def _reset(self):
        self._target = b''
        self._headers = []
        self._chunks = []
        self._body_bytes = 0
        self._has_head = False

    def _check_head(self, n):
        if n > self._server.limits.header_bytes:
            raise _LimitError(431)

    def on_message_begin(self):
        """Note that a request begins."""
        self._reset()
        self._is_reading = True
        self._touched_at = trio.current_time()

    def on_url(self, url):
        """Take a piece of the request's target."""
        self._target += url

    def on_header(self, name, value):
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Check the headers of a request."""
        self._has_head = True
        self._head_bytes = 0
        size = sum(len(n) + len(v) + 4 for n, v in self._headers)
        self._check_head(size + len(self._target))
        for name, value in self._headers:
            lower = name.lower()
            if lower == b'content-length':
                if int(value) > self._server.limits.body_bytes:
                    raise _LimitError(413)
            elif lower == b'expect' and value.lower() == b'100-continue':
                self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body):
        """Take a piece of the body."""
        self._touched_at = trio.current_time()
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            raise _LimitError(413)
        self._chunks.append(body)

    def on_message_complete(self):
        """Queue the complete request."""
        self._is_reading = False
        self._queue.append(
            messages.Request(
                self._parser.get_method(),
                self._target,
                tuple(self._headers),
                b''.join(self._chunks),
                self._parser.should_keep_alive(),
                trio.current_time(),
            )
        )
        self._reset()
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            raise _LimitError(429)
        self._handle_next()

    def _handle_next(self):
        if self._current is not None or not self._queue:
            return
        if not self._transport.is_open:
            return
        request = self._queue.popleft()
        self._current = request
        self._running = self._server.handle(request, self._respond)

    def _respond(self, reply):
        request = self._current
        if request is None:
            return
        keep = request.keep_alive and not self._server.is_stopping
        if isinstance(reply, messages.Piece):
            is_first = not self._is_streaming
            self._transport.write(messages.encode_piece(reply, is_first, keep))
            self._is_streaming = not reply.is_last
            if self._is_streaming:
                return
        else:
            has_body = request.method != b'HEAD'
            self._transport.write(messages.encode_reply(reply, keep, has_body))
        self._current = None
        self._running = None
        self._touched_at = trio.current_time()
        if not keep:
            self._close_after_flush()
            return
        self._handle_next()

    def _close_after_flush(self):
        self._queue.clear()
        self._server.start_soon(self._linger)

    async def _linger(self):
        with trio.move_on_after(LINGER_S):
            while self._transport.has_pending:
                await trio.sleep(LINGER_CHECK_S)
        self._transport.close()

    def _reject(self, status):
        if self._current is None and self._transport.is_open:
            reply = messages.Reply(status)
            self._transport.write(messages.encode_reply(reply, False))
        self._server.count_rejected(status)
        self._transport.close()

    def _end(self):
        if self._running is not None:
            self._running.cancel()
        self._running = None
        self._current = None
        self._transport.close()


class Server:
    """Listens on an address and hands requests to a handler.

    :param handle: a Handler.
    :param nursery: nursery for connections.
    :param on_rejected: called with the status of each rejected request.
    """

    def __init__(self, handle, nursery, on_rejected=None):
        self.handle = handle
        self.limits = Limits()
        self.is_stopping = False
        self._nursery = nursery
        self._on_rejected = on_rejected
        self._connections = set()

    @property
    def start_soon(self):
        """Start a task beside the connections."""
        return self._nursery.start_soon

    @property
    def busy(self):
        """Number of connections with a request in progress."""
        return sum(c.is_busy for c in self._connections)

    def count_rejected(self, status):
        """Tell of a request that was rejected before it was handled."""
        if self._on_rejected is not None:
            self._on_rejected(status)

    async def run(self, address):
        """Listen and serve until cancelled."""
        listener = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind(address)
        listener.listen(ACCEPT_BACKLOG)
        with listener:
            self._nursery.start_soon(self._sweep)
            while True:
                try:
                    stream, _ = await listener.accept()
                except OSError:
                    await trio.sleep(SWEEP_INTERVAL_S)
                    continue
                self.adopt(transports.detach(stream))

    def adopt(self, sock):
        """Serve a connected socket."""
        found = Connection(
            transports.Transport(sock, self._nursery),
            self,
            trio.current_time(),
        )
        self._connections.add(found)
        self._nursery.start_soon(self._run, found)

    async def _run(self, connection):
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _sweep(self):
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now = trio.current_time()
            for found in list(self._connections):
                found.sweep(now, self.limits)
