"""Heartbeat messages over UDP."""

import socket

import trio

from savorycross import errors
from savorycross.events import failure
from savorycross.peer import codec

MAX_DATAGRAM_BYTES = 8192


class UdpDatagrams:
    """A UDP socket that sends and receives heartbeat messages.

    :param address: host and port to bind.
    :param on_datagram: called with each Datagram received.
    :param metrics: a registry.Registry.
    """

    def __init__(self, address, on_datagram, metrics):
        self._address = address
        self._on_datagram = on_datagram
        self._metrics = metrics
        self._socket = None

    async def open(self):
        """Create and bind the socket."""
        host, port = self._address
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._socket = trio.socket.socket(family, socket.SOCK_DGRAM)
        await self._socket.bind((host, port))

    def close(self):
        """Close the socket."""
        self._socket.close()

    async def send(self, member, datagram):
        """Send a message, treating an error like the loss of a datagram.

        :param member: the Member to send to.
        """
        data = codec.encode_datagram(datagram)
        self._metrics.count('heartbeat_bytes_sent', len(data))
        try:
            await self._socket.sendto(data, (member.host, member.peer_port))
        except (OSError, OverflowError):
            # A port beyond 65535 overflows.
            self._metrics.count('heartbeat_send_errors')

    async def run(self):
        """Receive messages until cancelled."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            try:
                datagram = codec.decode_datagram(data)
            except errors.PeerProtocolError:
                self._metrics.count('heartbeat_protocol_errors')
                continue
            try:
                self._on_datagram(datagram)
            except Exception as exc:
                self._metrics.count('heartbeat_handling_errors')
                failure.report('datagram', exc)
