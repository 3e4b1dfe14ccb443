"""Sends and receives heartbeats over UDP."""

import socket

import trio

from savorycross.fleet import heartbeat
from savorycross.fleet import peer_registry
from savorycross.wire import binding

MAX_DATAGRAM_BYTES = 16384


class HeartbeatTransport:
    """Exchanges heartbeats with peers on one UDP socket.

    :param peers: PeerRegistry.
    :param seeds: addresses that get heartbeats while no peer is known.
    :param describe: callable that returns this instance's own status as a
        dictionary: the fields ``flags``, ``revision``, ``era``,
        ``configuration``, ``has_store`` and ``load`` of a Heartbeat.
    :param rng: random.Random that chooses among remote peers.
    :param metrics: Registry.
    """

    def __init__(self, peers, seeds, describe, rng, metrics):
        self._peers = peers
        self._seeds = [s for s in seeds if s != peers.own.address]
        self._describe = describe
        self._rng = rng
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
                    self._peers.tick(trio.current_time())
                    await self.send()
                    await trio.sleep(peer_registry.HEARTBEAT_INTERVAL_S)

    async def send(self, to_all=False):
        """Send heartbeats to all local peers and some remote ones.

        :param to_all: whether every other data centre gets a heartbeat.
        """
        if self._socket is None:
            return
        local = self._peers.local_addresses()
        remote = self._peers.remote_addresses()
        probability = peer_registry.REMOTE_MESSAGES_PER_INTERVAL / (
            len(local) + 1
        )
        chosen = [
            self._rng.choice(addresses)
            for addresses in remote
            if to_all or self._rng.random() < probability
        ]
        if not local and not remote:
            chosen = self._seeds
        now = trio.current_time()
        rows = self._peers.status_rows(now)
        for address in local:
            await self._send_heartbeat(address, rows)
        pending = self._peers.pending_addresses()
        for address in {*chosen, *pending}.difference(local):
            rows = self._peers.remote_status_rows(address, now)
            await self._send_heartbeat(address, rows)

    async def _send_heartbeat(self, address, rows):
        message = heartbeat.Heartbeat(
            format=heartbeat.FORMAT,
            sender=self._peers.own.id,
            rows=rows,
            asked=self._peers.unknown_ids(address),
            peers=self._peers.take_requested_peers(address),
            **self._describe(),
        )
        try:
            await self._socket.sendto(heartbeat.encode(message), address)
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
                message = heartbeat.decode(data)
            except ValueError:
                self._metrics.count('heartbeat_invalid')
                continue
            self._peers.on_heartbeat(message, address, trio.current_time())
