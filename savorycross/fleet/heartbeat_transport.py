"""Sends and receives heartbeats over UDP."""

import socket

import trio

from savorycross.fleet import heartbeat
from savorycross.fleet import peer_registry as peers_module

MAX_DATAGRAM_BYTES = 16384


class HeartbeatTransport:
    """The task that owns the heartbeat socket.

    :param peers: PeerRegistry.
    :param seeds: addresses that get heartbeats while no peer is known.
    :param describe: callable that returns the fields of a Heartbeat that
        this instance knows of itself, by name.
    :param rng: random.Random.
    :param metrics: Registry.
    """

    def __init__(self, peers, seeds, describe, rng, metrics):
        self._peers = peers
        self._seeds = [s for s in seeds if s != peers.own.address]
        self._describe = describe
        self._rng = rng
        self._metrics = metrics
        self._socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def run(self):
        """Exchange heartbeats until cancelled."""
        await self._socket.bind(self._peers.own.address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                self._peers.tick(trio.current_time())
                await self.send()
                await trio.sleep(peers_module.HEARTBEAT_INTERVAL_S)

    async def send(self, to_all=False):
        """Send heartbeats to neighbours and some remote peers.

        :param to_all: whether each other data centre gets one for sure.
        """
        near = self._peers.neighbours()
        remotes = self._peers.remotes()
        share = peers_module.REMOTE_MESSAGES / (len(near) + 1)
        far = [
            self._rng.choice(addresses)
            for addresses in remotes
            if to_all or self._rng.random() < share
        ]
        if not near and not remotes:
            far = self._seeds
        now = trio.current_time()
        rows = self._peers.rows(now)
        for address in near:
            await self._send_one(address, rows)
        pending = self._peers.pending_addresses()
        for address in {*far, *pending}.difference(near):
            rows = self._peers.remote_rows(address, now)
            await self._send_one(address, rows)

    async def _send_one(self, address, rows):
        found = heartbeat.Heartbeat(
            format=heartbeat.FORMAT,
            sender=self._peers.own.id,
            rows=rows,
            asked=self._peers.take_questions(address),
            peers=self._peers.take_answers(address),
            **self._describe(),
        )
        try:
            await self._socket.sendto(heartbeat.encode(found), address)
        except OSError:
            self._metrics.count('heartbeat_send_errors')

    async def _receive(self):
        while True:
            try:
                data, address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self._metrics.count('heartbeat_receive_errors')
                continue
            try:
                found = heartbeat.decode(data)
            except ValueError:
                self._metrics.count('heartbeat_invalid')
                continue
            self._peers.hear(found, address, trio.current_time())
