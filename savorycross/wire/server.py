"""An HTTP server."""

import collections
import dataclasses
import socket
import sys
import typing

import httptools
import trio

from savorycross.events import failure
from savorycross.wire import binding
from savorycross.wire import buffers as buffer_counts
from savorycross.wire import messages
from savorycross.wire import transport as transports

TIMEOUT_CHECK_INTERVAL_S = 0.2
ACCEPT_BACKLOG = 1024
# Time to write the last reply before its connection is closed.
LINGER_S = 1.0
LINGER_CHECK_S = 0.01
# Nothing more is read from a connection while so many requests wait there
# for the reply before them, or so many bytes.
MAX_QUEUED_REQUESTS = 32
READ_AHEAD_BYTES = 65536
# Bytes that are read at once beside a request in progress if memory is short.
SHORT_READ_BYTES = 4096
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


class Guard(typing.Protocol):
    """Keeps the bytes that are held for others within their limit."""

    def relieve(self) -> None:
        """Free bytes of callers that delay their requests or replies."""

    def make_refusal(self, reason) -> messages.Reply:
        """Return the reply to a request that has not been handled.

        :param reason: why, by which refusals are counted.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """What is held for a caller that may not come to take or complete it.

    :param connection: its Connection.
    :param unfinished_bytes: bytes of a request that isn't complete, while no
        other request of the caller waits or is in progress.
    :param unfinished_at: runtime clock time in seconds at which it began.
    :param unsent_bytes: bytes of replies that the caller hasn't taken.
    :param taken_at: runtime clock time in seconds at which it last took some.
    """

    connection: object
    unfinished_bytes: int
    unfinished_at: float
    unsent_bytes: int
    taken_at: float


class _LimitError(Exception):
    """A request exceeds a limit; ``status`` is the HTTP status for it."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Connection:
    """One caller's connection, which handles one request at a time.

    Pipelined requests wait until the reply to the current one is sent, and
    little is read ahead of them.

    :param transport: connected Transport.
    :param server: the Server that the connection belongs to.
    :param now: runtime clock time in seconds.
    """

    def __init__(self, transport, server, now):
        self._transport = transport
        self._server = server
        self._buffers = server.buffers
        self._parser = httptools.HttpRequestParser(self)
        self._queue = collections.deque()
        self._running = None
        self._current = None
        self._is_reading = False
        self._is_streaming = False
        self._is_closing = False
        self._ends_writing = False
        self._is_expired = False
        self._is_handling = False
        self._is_new = True
        self._resumed = None
        self._head_bytes = 0
        # Bytes held for the current request, those that wait for it, and the
        # one that is being read.
        self._current_bytes = 0
        self._queued_bytes = 0
        self._unfinished_bytes = 0
        self._unfinished_at = now
        self._last_activity_at = now
        self._reset()

    @property
    def is_busy(self):
        """Whether a request is being read or handled, or waits for that."""
        if self._is_closing:
            return False
        return (
            self._current is not None or self._is_reading or bool(self._queue)
        )

    @property
    def is_drained(self):
        """Whether no request is left to be answered, and no reply unsent."""
        return not self.is_busy and not self.has_pending

    @property
    def is_awaited(self):
        """Whether a reply, or a request to be answered, is still to come."""
        return self._transport.is_open and (
            self._is_new
            or self._ends_writing
            or not self.is_drained
            or (not self._is_closing and self._transport.has_received)
        )

    async def run(self):
        """Read and handle requests until the connection ends."""
        try:
            while True:
                while self._must_pause():
                    await self._wait_to_resume()
                data = await self._transport.read(self._count_allowed)
                if not data:
                    return
                if not self._is_closing:
                    self._feed(data)
                # It would last until the next bytes arrive.
                del data
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as exc:
            failure.report('caller connection', exc)
        finally:
            self._cancel_and_close()

    def _must_pause(self):
        """Return whether enough was read ahead of the current reply."""
        ahead_bytes = self._queued_bytes + self._unfinished_bytes
        if not ahead_bytes:
            return False
        if self._current is None and not self._transport.has_pending:
            return False
        return (
            len(self._queue) >= MAX_QUEUED_REQUESTS
            or ahead_bytes > READ_AHEAD_BYTES
            or self._buffers.is_exceeded
        )

    async def _wait_to_resume(self):
        """Wait for the end of a request, or until the caller has gone."""
        self._resumed = trio.Event()
        with trio.move_on_after(TIMEOUT_CHECK_INTERVAL_S):
            await self._resumed.wait()
        self._resumed = None
        if not self._transport.is_open or not self._transport.is_connected:
            raise trio.ClosedResourceError

    def _count_allowed(self):
        """Return how many bytes may be read while memory is short."""
        if self._is_closing:
            return transports.RECEIVE_BYTES
        return SHORT_READ_BYTES

    @property
    def has_pending(self):
        """Whether a part of a reply is still to be sent."""
        return self._transport.has_pending

    @property
    def held(self):
        """The Held of the caller, or None if nothing is held for it alone."""
        unsent_bytes = self._transport.pending_bytes
        unfinished_bytes = 0 if unsent_bytes else self._unfinished_bytes
        if self._current is not None:
            unfinished_bytes = 0
        if not unfinished_bytes and not unsent_bytes:
            return None
        return Held(
            self,
            unfinished_bytes,
            self._unfinished_at,
            unsent_bytes,
            self._transport.taken_at,
        )

    def close(self):
        """Close the connection."""
        self._transport.close()
        self._stop_pausing()

    def refuse_unfinished(self):
        """Refuse the request that is being read, and close the connection."""
        self._refuse_unfinished(self._server.make_refusal('unfinished'))

    def _refuse_unfinished(self, reply):
        self._transport.write(messages.encode_reply(reply, False))
        self._close_after_flush(ends_writing=True)

    def _refuse_if_ended(self):
        """Refuse the request that is being read if the instance has ended.

        It could only be refused once it is complete, and its caller may need
        longer for that than the process lasts.
        """
        reply = self._server.end_refusal
        if reply is None or not self._is_reading or self._is_closing:
            return
        if self._current is None and self._transport.is_open:
            self._server.count_rejected(reply.status)
            self._refuse_unfinished(reply)

    def expire(self):
        """Let the requests that were read be answered without delay."""
        self._is_expired = True
        self._handle_next()
        while self._running is not None:
            request = self._current
            self._running.expire()
            if self._current is request:
                break

    def finish(self):
        """Answer what the caller has sent, without delay, and close.

        The connection stays open while a request is handled, or a reply is
        still to be sent or taken. So does a new one, as its first request is
        probably on its way. Of a caller that has sent much, the rest is read
        by and by.
        """
        read_bytes = 0
        while read_bytes < READ_AHEAD_BYTES:
            if self._is_closing or self._must_pause():
                break
            data = self._transport.read_now()
            if not data:
                break
            read_bytes += len(data)
            self._feed(data)
        self.expire()
        self._refuse_if_ended()
        if not self.is_awaited:
            self.close()

    def check_timeout(self, now, limits):
        """Close the connection if a timeout of its caller has passed.

        A caller that is slow to send a request is answered with status 408;
        an idle connection is closed without an answer.
        """
        waited_s = now - self._last_activity_at
        if self._current is not None or self._is_closing:
            return
        if self._transport.has_pending:
            if now - self._transport.taken_at > limits.idle_timeout_s:
                self.close()
            return
        if self._is_reading:
            if waited_s > limits.header_timeout_s:
                self._reject(408)
            return
        if waited_s > limits.idle_timeout_s:
            self.close()

    def _feed(self, data):
        self._is_new = False
        if not self._is_reading:
            self._last_activity_at = trio.current_time()
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            try:
                self._parser.feed_data(data)
            finally:
                # A reply at once must not close the connection before the
                # requests that follow in the same data.
                self._handle_next()
            if not self._has_head and self._is_reading:
                self._check_head_size(self._head_bytes)
            if self._is_reading:
                self._count_unfinished()
                if self._buffers.is_exceeded:
                    self._refuse_if_exceeded()
                self._refuse_if_ended()
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except _LimitError as exc:
            self._reject(exc.status)
        except httptools.HttpParserError as exc:
            # The parser wraps an error that a callback raised.
            cause = exc.__context__
            status = cause.status if isinstance(cause, _LimitError) else 400
            self._reject(status)

    def _refuse_if_exceeded(self):
        """Refuse what is being read if no bytes can be freed for it."""
        self._server.relieve()
        held = self.held
        if held is None or not held.unfinished_bytes:
            return
        if self._buffers.is_exceeded:
            self.refuse_unfinished()

    def _count_unfinished(self):
        """Count the bytes of the request that is being read."""
        size = (
            buffer_counts.REQUEST_BYTES
            + max(self._head_bytes, self._header_bytes)
            + len(self._headers) * buffer_counts.HEADER_BYTES
            + len(self._target)
            + len(self._body)
        )
        self._buffers.requests += size - self._unfinished_bytes
        self._unfinished_bytes = size

    def _release(self):
        """Stop counting the current request."""
        self._buffers.requests -= self._current_bytes
        self._current_bytes = 0

    def _release_unhandled(self):
        """Drop the requests that wait and the one that is being read."""
        self._queue.clear()
        self._buffers.requests -= self._queued_bytes + self._unfinished_bytes
        self._queued_bytes = 0
        self._unfinished_bytes = 0
        self._reset()

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
        self._unfinished_at = self._last_activity_at

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
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._parser.should_keep_alive(),
            trio.current_time(),
        )
        self._count_unfinished()
        size = self._unfinished_bytes
        self._queue.append((request, size))
        self._queued_bytes += size
        self._unfinished_bytes = 0
        self._reset()

    def _handle_next(self):
        # A request that is answered at once leads here again.
        if self._is_handling or not self._queue:
            return
        self._is_handling = True
        try:
            while self._queue and self._may_start:
                self._start_next()
        finally:
            self._is_handling = False

    @property
    def _may_start(self):
        """Whether the reply to the request before the next one was sent."""
        if self._current is not None or self._is_closing:
            return False
        if not self._transport.is_open:
            return False
        return self._is_expired or not self._transport.has_pending

    def _start_next(self):
        request, size = self._queue.popleft()
        self._queued_bytes -= size
        self._current_bytes = size
        self._current = request
        if self._buffers.is_exceeded and self._server.refuses_new:
            self._server.relieve()
            if self._buffers.is_exceeded:
                self._respond(self._server.make_refusal('new'))
                return
        try:
            running = self._server.handle(request, self._respond)
        except Exception as exc:
            # The caller of this is the request before, which has not failed.
            failure.report('start of a request', exc)
            self.close()
            return
        # The response may have begun the next request already.
        if self._current is request:
            self._running = running
            if self._is_expired and running is not None:
                with failure.contained('expiry of a request'):
                    running.expire()

    def _respond(self, reply):
        request = self._current
        if request is None:
            return
        keep_alive = request.keep_alive and not self._is_last
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
        self._release()
        self._last_activity_at = trio.current_time()
        if not keep_alive:
            self._close_after_flush()
            return
        self._resume()

    @property
    def _is_last(self):
        """Whether the connection closes with the current reply.

        During a stop, requests that the caller has sent are still answered,
        also those that wait in the socket or were read in part.
        """
        if not self._server.is_stopping or self._queue or self._is_reading:
            return False
        return not self._transport.has_received

    def _resume(self):
        """Go on with the next request, if the reply before it was sent."""
        self._handle_next()
        self._refuse_if_ended()
        self._stop_pausing()

    def _stop_pausing(self):
        if self._resumed is not None:
            self._resumed.set()

    def on_flushed(self):
        """Go on after a reply that had to wait; called by the transport."""
        if self._transport.has_failed:
            self.close()
            return
        self._last_activity_at = trio.current_time()
        self._resume()

    def _close_after_flush(self, ends_writing=False):
        """Close the connection once its last reply is sent.

        :param ends_writing: whether the caller may be sending, so that it
            would lose the reply if the connection were closed at once.
        """
        self._is_closing = True
        self._ends_writing = ends_writing
        self._is_reading = False
        self._release_unhandled()
        self._stop_pausing()
        self._server.start_soon(self._linger, ends_writing)

    async def _linger(self, ends_writing):
        with trio.move_on_after(LINGER_S):
            while self._transport.has_pending:
                await trio.sleep(LINGER_CHECK_S)
            if ends_writing and self._transport.is_open:
                self._transport.end_writing()
                while self._transport.is_open:
                    await trio.sleep(LINGER_CHECK_S)
        self.close()

    def _reject(self, status):
        if self._is_closing:
            return
        if self._current is None and self._transport.is_open:
            reply = messages.Reply(status)
            self._transport.write(messages.encode_reply(reply, False))
        self._server.count_rejected(status)
        self.close()

    def _cancel_and_close(self):
        running, self._running = self._running, None
        self._current = None
        self._release()
        self._release_unhandled()
        self.close()
        if running is not None:
            running.cancel()


class Server:
    """A server that listens on an address and passes requests to a handler.

    ``is_stopping`` makes each connection close after its next reply;
    ``is_listening`` tells whether ``run`` has come to listen, and
    ``refuses_new`` whether complete requests are refused while the limit of
    the buffers is exceeded.

    :param handle: a Handler.
    :param nursery: nursery for the tasks of the connections.
    :param on_rejected: called with the HTTP status of each request that is
        rejected before it is handled.
    :param buffers: Buffers of all connections of the process, or None for
        some of its own.
    :param guard: Guard of these, or None.
    """

    def __init__(
        self, handle, nursery, on_rejected=None, buffers=None, guard=None
    ):
        self.handle = handle
        self.buffers = buffers or buffer_counts.Buffers(sys.maxsize)
        self.limits = Limits()
        self.is_stopping = False
        self.is_listening = False
        self.refuses_new = True
        self.end_refusal = None
        self._nursery = nursery
        self._on_rejected = on_rejected
        self._guard = guard
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

    @property
    def is_drained(self):
        """Whether all callers have their replies, and none is expected."""
        return not any(c.is_awaited for c in self._connections)

    def expire_requests(self):
        """Let all requests that were read be answered without delay."""
        for connection in list(self._connections):
            with failure.contained('expiry of a request'):
                connection.expire()

    def answer_arrived(self, refusal=None):
        """Answer all requests that have arrived.

        A process that was starved has neither accepted all connections nor
        read all requests that wait in its sockets.

        :param refusal: Reply to requests that are read in part, now or
            later; None to wait until they are complete.
        """
        self.end_refusal = refusal
        if self._listener is not None:
            self._accept_waiting(self._listener)
        for connection in list(self._connections):
            with failure.contained('finish of a connection'):
                connection.finish()

    def finish(self, refusal=None):
        """Answer all requests that have arrived, and accept no more.

        :param refusal: as of ``answer_arrived``.
        """
        self.answer_arrived(refusal)
        if self._listener is not None:
            trio.lowlevel.notify_closing(self._listener)
            self._listener.close()

    def relieve(self):
        """Free bytes, as the limit is exceeded; see ``Guard``."""
        if self._guard is not None:
            self._guard.relieve()

    def make_refusal(self, reason):
        """Return the reply to a request that isn't handled; see ``Guard``."""
        if self._guard is not None:
            return self._guard.make_refusal(reason)
        return messages.Reply(503)

    def list_held(self):
        """Return what is Held for each caller alone."""
        held = [connection.held for connection in self._connections]
        return [h for h in held if h is not None]

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
                self.serve_socket(self._accept_next(listener))
        except OSError:
            return

    @staticmethod
    def _accept_next(listener):
        """Return the socket of the next caller that hasn't left already."""
        while True:
            try:
                return listener.accept()[0]
            except ConnectionAbortedError:
                continue

    def serve_socket(self, sock):
        """Serve a connected standard library socket."""
        transport = transports.Transport(sock, self._nursery, self.buffers)
        connection = Connection(transport, self, trio.current_time())
        transport.on_flushed = connection.on_flushed
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
