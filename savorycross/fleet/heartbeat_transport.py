"""Sends and receives heartbeats over UDP."""

import socket

import trio

from savorycross.fleet import heartbeat
from savorycross.fleet import heartbeat_planner
from savorycross.wire import binding

MAX_DATAGRAM_BYTES = 16384


class HeartbeatTransport:
    """Exchanges heartbeats with peers on one UDP socket.

    :param peers: PeerRegistry.
    :param seeds: addresses that get heartbeats while no peer is known.
    :param describe: see HeartbeatPlanner.
    :param rng: random.Random that chooses among peers.
    :param metrics: Registry.
    """

    def __init__(self, peers, seeds, describe, rng, metrics):
        self._peers = peers
        self._planner = heartbeat_planner.HeartbeatPlanner(
            peers, seeds, describe, rng
        )
        self._metrics = metrics
        self._socket = None

    async def run(self):
        """Exchange heartbeats until cancelled."""
        self._socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with self._socket:
            await binding.bind(self._socket, self._peers.own.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                while True:
                    await self._send_all(
                        self._planner.plan(trio.current_time())
                    )
                    await trio.sleep(self._planner.interval_s)

    async def send_farewell(self):
        """Tell other instances at once that this one stops."""
        if self._socket is not None:
            await self._send_all(
                self._planner.plan_farewell(trio.current_time())
            )

    async def _send_all(self, planned):
        for address, message in planned:
            await self._send(address, message)

    async def _send(self, address, message):
        data = heartbeat.encode(message)
        try:
            await self._socket.sendto(data, address)
        except OSError:
            self._metrics.count('heartbeat_send_errors')
            return
        self._metrics.count('heartbeat_sent_bytes', len(data))

    async def _receive(self):
        while True:
            try:
                data, address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self._metrics.count('heartbeat_receive_errors')
                continue
            self._metrics.count('heartbeat_received_bytes', len(data))
            try:
                message = heartbeat.decode(data)
            except ValueError:
                self._metrics.count('heartbeat_invalid')
                continue
            now = trio.current_time()
            self._peers.on_heartbeat(message, address, now)
            answer = self._planner.answer(message, address, now)
            if answer is not None:
                await self._send(address, answer)
