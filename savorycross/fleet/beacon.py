"""Sends and receives heartbeats over UDP."""

import socket

import trio

from savorycross.fleet import heartbeat
from savorycross.fleet import peers as peers_module

MAX_DATAGRAM_BYTES = 16384


class Beacon:
    """The task that owns the heartbeat socket.

    :param peers: Peers.
    :param seeds: addresses that get heartbeats while few peers are known.
    :param describe: callable that returns the fields of a Heartbeat that
        this instance knows of itself, by name.
    :param metrics: Registry.
    """

    def __init__(self, peers, seeds, describe, metrics):
        self._peers = peers
        self._seeds = seeds
        self._describe = describe
        self._metrics = metrics
        self._socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def run(self):
        """Exchange heartbeats until cancelled."""
        await self._socket.bind(self._peers.own.address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                await self.send()
                await trio.sleep(peers_module.HEARTBEAT_INTERVAL_S)

    async def send(self):
        """Send one heartbeat to each peer."""
        now = trio.current_time()
        self._peers.tick(now)
        data = heartbeat.encode(
            heartbeat.Heartbeat(
                format=heartbeat.FORMAT,
                sender=self._peers.own,
                heard=self._peers.heard(now),
                known=self._peers.known(),
                **self._describe(),
            )
        )
        to = dict.fromkeys([*self._peers.addresses(), *self._seeds])
        to.pop(self._peers.own.address, None)
        for address in to:
            try:
                await self._socket.sendto(data, tuple(address))
            except OSError:
                self._metrics.count('heartbeat_send_errors')

    async def _receive(self):
        while True:
            try:
                data, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self._metrics.count('heartbeat_receive_errors')
                continue
            try:
                found = heartbeat.decode(data)
            except ValueError:
                self._metrics.count('heartbeat_invalid')
                continue
            self._peers.hear(found, trio.current_time())
