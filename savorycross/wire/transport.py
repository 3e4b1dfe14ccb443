"""A connected socket with buffered writes."""

import socket

import trio

RECEIVE_BYTES = 65536
# TCP keep-alive probes break a connection whose peer vanished without a reset.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection breaks if sent bytes stay unacknowledged for this time.
USER_TIMEOUT_MS = 4000


class Transport:
    """A connected stream socket whose writes never block.

    Bytes that the socket does not accept at once are buffered and sent by a
    task of the nursery.

    :param sock: connected standard library socket.
    :param nursery: nursery for the task that flushes.
    """

    def __init__(self, sock, nursery):
        sock.setblocking(False)
        _set_options(sock)
        self._sock = sock
        self._nursery = nursery
        self._pending = bytearray()
        self.is_open = True

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
            self._pending += data
            return
        try:
            sent_bytes = self._sock.send(data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            return
        if sent_bytes < len(data):
            self._pending += data[sent_bytes:]
            self._nursery.start_soon(self._flush)

    async def read(self):
        """Return the next bytes, or ``b''`` at the end of the stream.

        :raises OSError: if the connection broke.
        :raises trio.ClosedResourceError: if this side closed it.
        """
        while True:
            if not self.is_open:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._sock)
            try:
                return self._sock.recv(RECEIVE_BYTES)
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

    def close(self):
        """Close the socket; a pending read raises ClosedResourceError."""
        if not self.is_open:
            return
        self.is_open = False
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()

    async def _flush(self):
        try:
            while self._pending and self.is_open:
                await trio.lowlevel.wait_writable(self._sock)
                try:
                    sent_bytes = self._sock.send(self._pending)
                except BlockingIOError:
                    continue
                del self._pending[:sent_bytes]
        except (OSError, trio.ClosedResourceError):
            self._pending.clear()


async def connect(address, nursery):
    """Return a Transport connected to an address.

    :param address: host and port.
    :raises OSError: if the connection cannot be made.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return Transport(detach(sock), nursery)


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
