"""A connected socket with buffered writes."""

import socket

import trio

from savorycross.wire import buffers as buffer_counts

RECEIVE_BYTES = 65536
# How often a reader that has to wait looks whether it may read.
READ_DELAY_S = 0.02
# TCP keep-alive probes break a connection whose peer vanished without a reset.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection breaks if sent bytes stay unacknowledged for this time.
USER_TIMEOUT_MS = 4000
# States of a connection in the kernel's TCP_INFO.
_TCP_STATE_BYTE = 0
_TCP_ESTABLISHED = 1


class Transport:
    """A connected stream socket whose writes never block.

    Bytes that the socket does not accept at once are buffered and sent by a
    task of the nursery.

    :param sock: connected standard library socket.
    :param nursery: nursery for the task that flushes.
    :param buffers: Buffers that count the bytes to be sent.

    ``on_flushed`` is called, if it is set, when no written bytes are left to
    be sent after some had to wait, or when sending them has failed.
    ``taken_at`` is the runtime clock time in seconds at which the peer last
    took bytes that had to wait, or at which they began to wait.
    """

    def __init__(self, sock, nursery, buffers=None):
        sock.setblocking(False)
        _set_options(sock)
        self._sock = sock
        self._nursery = nursery
        self._buffers = buffers or buffer_counts.Buffers()
        self.on_flushed = None
        self._pending = bytearray()
        self.is_open = True
        self.has_failed = False
        self.taken_at = 0.0

    @property
    def pending_bytes(self):
        """Number of written bytes that are still to be sent."""
        return len(self._pending)

    @property
    def is_connected(self):
        """Whether the peer may still send, even if nothing is read.

        True where the system does not tell.
        """
        try:
            info = self._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 1
            )
        except OSError:
            return True
        return info[_TCP_STATE_BYTE] == _TCP_ESTABLISHED

    @property
    def has_pending(self):
        """Whether written bytes are still to be sent."""
        return bool(self._pending)

    def write(self, data):
        """Write bytes.

        Errors are not raised here: the reader of a broken connection gets
        them.
        """
        if not self.is_open:
            return
        if self._pending:
            self._hold(data)
            return
        try:
            sent_bytes = self._sock.send(data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            return
        if sent_bytes < len(data):
            self._hold(memoryview(data)[sent_bytes:])
            self.taken_at = trio.current_time()
            self._nursery.start_soon(self._flush)

    async def read(self, count_allowed=None):
        """Return the next bytes, or ``b''`` at the end of the stream.

        :param count_allowed: callable that returns how many bytes may be
            read while memory is short, or 0 if they have to wait.
        :raises OSError: if the connection broke.
        :raises trio.ClosedResourceError: if this side closed it.
        """
        while True:
            if not self.is_open:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._sock)
            max_bytes = RECEIVE_BYTES
            if count_allowed is not None and self._buffers.is_short:
                max_bytes = count_allowed()
            if not max_bytes:
                await trio.sleep(READ_DELAY_S)
                continue
            try:
                return self._sock.recv(max_bytes)
            except BlockingIOError:
                continue

    def read_now(self):
        """Return the bytes that have been received, without waiting.

        :returns: ``b''`` if there are none, or the connection has ended.
        """
        if not self.is_open:
            return b''
        try:
            return self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return b''

    @property
    def has_received(self):
        """Whether bytes have been received that are still to be read."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self):
        """Close the socket; a pending read raises ClosedResourceError."""
        if not self.is_open:
            return
        self.is_open = False
        self._drop_pending()
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()

    def end_writing(self):
        """Tell the peer that nothing more will be written."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def _hold(self, data):
        self._pending += data
        self._buffers.unsent += len(data)

    def _drop_pending(self):
        self._buffers.unsent -= len(self._pending)
        self._pending.clear()

    async def _flush(self):
        try:
            while self._pending and self.is_open:
                await trio.lowlevel.wait_writable(self._sock)
                try:
                    sent_bytes = self._sock.send(self._pending)
                except BlockingIOError:
                    continue
                del self._pending[:sent_bytes]
                self._buffers.unsent -= sent_bytes
                self.taken_at = trio.current_time()
        except (OSError, trio.ClosedResourceError):
            self.has_failed = True
            self._drop_pending()
        if self.on_flushed is not None and self.is_open:
            self.on_flushed()


async def connect(address, nursery, buffers=None):
    """Return a Transport connected to an address.

    :param address: host and port.
    :param buffers: see ``Transport``.
    :raises OSError: if the connection cannot be made.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return Transport(detach(sock), nursery, buffers)


def detach(sock):
    """Return a standard library socket in place of a trio socket.

    The trio socket is closed without closing the connection.
    """
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, sock.detach())


def _set_options(sock):
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    if sock.family != socket.AF_INET:
        return
    for level, name, value in options:
        sock.setsockopt(level, name, value)
