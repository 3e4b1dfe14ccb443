"""Exchanges the messages about rates and quotas over UDP."""

import socket

import msgspec
import trio

from savorycross.wire import binding

MAX_DATAGRAM_BYTES = 16384
# Messages that wait to be sent; further ones are dropped, as old news and
# requests are of no use.
MAX_QUEUED = 1024


class RateTransport:
    """Sends and receives messages of several types on one UDP socket.

    :param address: host and port to bind.
    :param find_address: callable that takes the name of an instance and
        returns the host and port of its socket, or None.
    :param metrics: Registry.
    """

    def __init__(self, address, find_address, metrics):
        self._address = address
        self._find_address = find_address
        self._metrics = metrics
        self._outgoing, self._queue = trio.open_memory_channel(MAX_QUEUED)
        self._listeners = []

    def listen(self, decode, on_message):
        """Handle messages of one type.

        :param decode: callable that takes bytes and returns a message; it
            raises ValueError if they encode none of this type.
        :param on_message: called with each message of the type.
        """
        self._listeners.append((decode, on_message))

    def send(self, name, message):
        """Queue a message; it is lost if the instance is not known.

        :param name: name of the instance that gets it.
        :param message: msgspec Struct of a type that others listen to.
        """
        self.send_data(name, msgspec.msgpack.encode(message))

    def send_data(self, name, data):
        """Queue a datagram; it is lost if the instance is not known.

        :param name: name of the instance that gets it.
        """
        address = self._find_address(name)
        if address is None:
            return
        try:
            self._outgoing.send_nowait((address, data))
        except trio.WouldBlock:
            self._metrics.count('rate_messages_dropped')

    async def run(self):
        """Exchange messages until cancelled."""
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            await binding.bind(sock, self._address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                while True:
                    address, data = await self._queue.receive()
                    await self._send_now(sock, address, data)

    async def _send_now(self, sock, address, data):
        self._metrics.count('rate_messages', direction='sent')
        try:
            await sock.sendto(data, address)
        except OSError:
            self._metrics.count('rate_send_errors')

    async def _receive(self, sock):
        while True:
            try:
                data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self._metrics.count('rate_receive_errors')
                continue
            self._handle(data)

    def _handle(self, data):
        for decode, on_message in self._listeners:
            try:
                message = decode(data)
            except ValueError:
                continue
            on_message(message)
            return
        self._metrics.count('rate_messages_invalid')
