"""Sockets with buffered writes."""

import socket

import trio

from savorycross.wire import transport as transports


class HesitantSocket(socket.socket):
    """A socket that refuses sends although it was reported as writable."""

    refusals = 0

    def send(self, data):
        """Send bytes, or refuse to."""
        if self.refusals:
            self.refusals -= 1
            raise BlockingIOError
        return super().send(data)


# Guards against callers that are cut off while their requests wait.
async def test_socket_that_does_not_tell_its_state_counts_as_connected(
    nursery,
):
    ours, theirs = socket.socketpair()
    with theirs:
        transport = transports.Transport(ours, nursery)
        assert transport.is_connected
        transport.close()


# Guards against streams with a gap, and bytes that never arrive.
async def test_socket_that_is_not_writable_after_all_loses_no_bytes(nursery):
    ours, theirs = socket.socketpair()
    sock = HesitantSocket(fileno=ours.detach())
    sock.refusals = 3
    transport = transports.Transport(sock, nursery)
    transport.write(b'first')
    transport.write(b'second')
    with theirs, trio.fail_after(5):
        while transport.has_pending:
            await trio.sleep(0)
        theirs.setblocking(False)
        assert theirs.recv(100) == b'firstsecond'
    transport.close()
