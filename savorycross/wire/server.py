"""An HTTP server."""

import collections
import dataclasses
import socket
import typing

import httptools
import trio

from savorycross.events import failure
from savorycross.wire import binding
from savorycross.wire import messages
from savorycross.wire import transport as transports

TIMEOUT_CHECK_INTERVAL_S = 0.2
ACCEPT_BACKLOG = 1024
# Time to write the last reply before its connection is closed.
LINGER_S = 1.0
LINGER_CHECK_S = 0.01
# A connection with more pipelined requests than this is closed.
MAX_QUEUED_REQUESTS = 32
# Limits in force until a configuration sets others.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 1 << 20
HEADER_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a caller's requests and on its delays.

    :param max_header_bytes: bytes of a request's target and headers.
    :param max_body_bytes: bytes of a request's body.
    :param header_timeout_s: seconds from the first byte of a request to the
        end of its headers, and between two fragments of its body.
    :param idle_timeout_s: seconds without a request.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class RunningRequest(typing.Protocol):
    """A request that is being handled."""

    def cancel(self) -> None:
        """Stop handling the request; the caller has disconnected."""

    def expire(self) -> None:
        """Respond now, with what is known, as no more time is left."""


class Handler(typing.Protocol):
    """A callable that handles requests."""

    def __call__(self, request, respond) -> RunningRequest | None:
        """Handle a request.

        :param request: the complete messages.Request.
        :param respond: callable to be called once with the Reply, or with
            one ReplyChunk after the other until the last.
        :returns: the request, so that it can be cancelled, or None.
        """


class _LimitError(Exception):
    """A request exceeds a limit; ``status`` is the HTTP status for it."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Connection:
    """One caller's connection, which handles one request at a time.

    Pipelined requests wait until the current one is answered.

    :param transport: connected Transport.
    :param server: the Server that the connection belongs to.
    :param now: runtime clock time in seconds.
    """

    def __init__(self, transport, server, now):
        self._transport = transport
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue = collections.deque()
        self._running = None
        self._current = None
        self._is_reading = False
        self._is_streaming = False
        self._is_ending = False
        self._head_bytes = 0
        self._last_activity_at = now
        self._reset()

    @property
    def is_busy(self):
        """Whether a request is being read or handled."""
        return self._current is not None or self._is_reading

    async def run(self):
        """Read and handle requests until the connection ends."""
        try:
            while True:
                data = await self._transport.read()
                if not data:
                    return
                self._feed(data)
                # It would last until the next bytes arrive.
                del data
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as exc:
            failure.report('caller connection', exc)
        finally:
            self._cancel_and_close()

    @property
    def has_pending(self):
        """Whether a part of a reply is still to be sent."""
        return self._transport.has_pending

    def close(self):
        """Close the connection."""
        self._transport.close()

    def expire(self):
        """Let the requests that were read be answered without delay."""
        while self._running is not None:
            request = self._current
            self._running.expire()
            if self._current is request:
                break

    def finish(self):
        """Answer what the caller has sent, without delay, and close.

        The connection stays open while a request is read or handled, or a
        reply is still to be sent.
        """
        while not self._is_ending and (data := self._transport.read_now()):
            self._feed(data)
        self.expire()
        if not self.is_busy and not self.has_pending:
            self.close()

    def check_timeout(self, now, limits):
        """Close the connection if a timeout of its caller has passed.

        A caller that is slow to send a request is answered with status 408;
        an idle connection is closed without an answer.
        """
        waited_s = now - self._last_activity_at
        if self._current is not None:
            return
        if self._is_reading:
            if waited_s > limits.header_timeout_s:
                self._reject(408)
            return
        if waited_s > limits.idle_timeout_s:
            self.close()

    def _feed(self, data):
        if not self._is_reading:
            self._last_activity_at = trio.current_time()
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if not self._has_head and self._is_reading:
                self._check_head_size(self._head_bytes)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except _LimitError as exc:
            self._reject(exc.status)
        except httptools.HttpParserError as exc:
            # The parser wraps an error that a callback raised.
            cause = exc.__context__
            status = cause.status if isinstance(cause, _LimitError) else 400
            self._reject(status)

    def _reset(self):
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_head = False

    def _check_head_size(self, n):
        if n > self._server.limits.max_header_bytes:
            raise _LimitError(431)

    def on_message_begin(self):
        """Prepare for a request; called by the parser."""
        self._reset()
        self._is_reading = True
        self._last_activity_at = trio.current_time()

    def on_url(self, url):
        """Append a fragment of the request's target; called by the parser."""
        self._target += url

    def on_header(self, name, value):
        """Store a header or trailer; called by the parser."""
        self._header_bytes += len(name) + len(value) + 4
        self._check_head_size(self._header_bytes + len(self._target))
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Check the headers of a request; called by the parser."""
        self._has_head = True
        self._head_bytes = 0
        self._check_head_size(self._header_bytes + len(self._target))
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b'content-length':
                if int(value) > self._server.limits.max_body_bytes:
                    raise _LimitError(413)
            elif lower_name == b'expect' and value.lower() == b'100-continue':
                self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body):
        """Store a fragment of the body; called by the parser."""
        self._last_activity_at = trio.current_time()
        if len(self._body) + len(body) > self._server.limits.max_body_bytes:
            raise _LimitError(413)
        self._body += body

    def on_message_complete(self):
        """Queue the complete request; called by the parser."""
        self._is_reading = False
        self._queue.append(
            messages.Request(
                self._parser.get_method(),
                self._target,
                tuple(self._headers),
                bytes(self._body),
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
        running = self._server.handle(request, self._respond)
        # The response may have begun the next request already.
        if self._current is request:
            self._running = running

    def _respond(self, reply):
        request = self._current
        if request is None:
            return
        # Requests that were read already are answered even during a stop.
        is_last = self._server.is_stopping and not self._queue
        keep_alive = request.keep_alive and not is_last
        if isinstance(reply, messages.ReplyChunk):
            is_first = not self._is_streaming
            self._transport.write(
                messages.encode_chunk(reply, is_first, keep_alive)
            )
            self._is_streaming = not reply.is_last
            if self._is_streaming:
                return
        else:
            has_body = request.method != b'HEAD'
            self._transport.write(
                messages.encode_reply(reply, keep_alive, has_body)
            )
        self._current = None
        self._running = None
        self._last_activity_at = trio.current_time()
        if not keep_alive:
            self._close_after_flush()
            return
        self._handle_next()

    def _close_after_flush(self):
        self._is_ending = True
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

    def _cancel_and_close(self):
        running, self._running = self._running, None
        self._current = None
        self._transport.close()
        if running is not None:
            running.cancel()


class Server:
    """A server that listens on an address and passes requests to a handler.

    ``is_stopping`` makes each connection close after its next reply;
    ``is_listening`` tells whether ``run`` has come to listen.

    :param handle: a Handler.
    :param nursery: nursery for the tasks of the connections.
    :param on_rejected: called with the HTTP status of each request that is
        rejected before it is handled.
    """

    def __init__(self, handle, nursery, on_rejected=None):
        self.handle = handle
        self.limits = Limits()
        self.is_stopping = False
        self.is_listening = False
        self._nursery = nursery
        self._on_rejected = on_rejected
        self._connections = set()
        self._listener = None

    @property
    def start_soon(self):
        """The callable that starts a task in the server's nursery."""
        return self._nursery.start_soon

    @property
    def busy(self):
        """Number of connections that read or handle a request."""
        return sum(c.is_busy for c in self._connections)

    @property
    def has_pending(self):
        """Whether parts of replies are still to be sent."""
        return any(c.has_pending for c in self._connections)

    def expire_requests(self):
        """Let all requests that were read be answered without delay."""
        for connection in list(self._connections):
            with failure.contained('expiry of a request'):
                connection.expire()

    def finish(self):
        """Answer all requests that have arrived, and accept no more.

        A process that was starved has neither accepted all connections nor
        read all requests that wait in its sockets.
        """
        if self._listener is not None:
            self._accept_waiting(self._listener)
            trio.lowlevel.notify_closing(self._listener)
            self._listener.close()
        for connection in list(self._connections):
            connection.finish()

    def count_rejected(self, status):
        """Report a request that was rejected before it was handled."""
        if self._on_rejected is not None:
            self._on_rejected(status)

    async def run(self, address):
        """Listen on an address and serve connections until cancelled.

        :param address: host and port.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with listener:
            wrapped = trio.socket.from_stdlib_socket(listener)
            await binding.bind(wrapped, address)
            listener.listen(ACCEPT_BACKLOG)
            self._listener = listener
            self.is_listening = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._check_timeouts)
                await self._accept(listener)

    async def _accept(self, listener):
        while listener.fileno() >= 0:
            try:
                await trio.lowlevel.wait_readable(listener)
                self.serve_socket(listener.accept()[0])
            except (BlockingIOError, trio.ClosedResourceError):
                continue
            except OSError:
                await trio.sleep(TIMEOUT_CHECK_INTERVAL_S)
        await trio.sleep_forever()

    def _accept_waiting(self, listener):
        try:
            while True:
                self.serve_socket(listener.accept()[0])
        except OSError:
            return

    def serve_socket(self, sock):
        """Serve a connected standard library socket."""
        connection = Connection(
            transports.Transport(sock, self._nursery),
            self,
            trio.current_time(),
        )
        self._connections.add(connection)
        self._nursery.start_soon(self._run, connection)

    async def _run(self, connection):
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _check_timeouts(self):
        while True:
            await trio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = trio.current_time()
            for connection in list(self._connections):
                connection.check_timeout(now, self.limits)
