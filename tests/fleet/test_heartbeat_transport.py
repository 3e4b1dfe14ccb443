"""Heartbeats on real sockets."""

import random

import trio

from savorycross.fleet import heartbeat
from savorycross.fleet import heartbeat_transport
from savorycross.fleet import peer_registry
from savorycross.metrics import registry
from standins import loopback
from tests import null_log

COUNT = 10
START_S = 2.0
END_S = 3.0


class _Instance:
    """A registry and its transport; the scope ends the transport."""

    def __init__(self, name):
        address = loopback.find_address()
        self.peer = heartbeat.Peer(name, 1, 'x', address, address)
        self.peers = peer_registry.PeerRegistry(self.peer, null_log.NullLog())
        self.metrics = registry.Registry()
        self.flags = heartbeat.READY
        self.transport = heartbeat_transport.HeartbeatTransport(
            self.peers, (), self._describe, random.Random(name), self.metrics
        )
        self.scope = trio.CancelScope()

    async def run(self):
        """Exchange heartbeats until the scope is cancelled."""
        with self.scope:
            await self.transport.run()

    def serving(self):
        """Return the names of peers that serve."""
        states = self.peers.serving_peers(trio.current_time())
        return {p.name for p in states}

    def _describe(self):
        return {'flags': self.flags, 'revision': 1, 'has_store': True}


# Guards against probes that stay without an answer on sockets, and against a
# farewell that reaches nobody.
async def test_instances_of_a_large_fleet_hear_each_other(nursery):
    instances = [_Instance(f'i{n}') for n in range(COUNT)]
    names = {i.peer.name for i in instances}
    for instance in instances:
        for other in instances:
            instance.peers.register(other.peer, trio.current_time())
        nursery.start_soon(instance.run)
    await trio.sleep(START_S)
    for instance in instances:
        assert instance.peers.is_large
        assert instance.serving() == names - {instance.peer.name}
    ended, stopped, *others = instances
    ended.scope.cancel()
    stopped.flags = heartbeat.LEAVING
    await stopped.transport.send_farewell()
    await trio.sleep(0.2)
    assert not any(stopped.peer.name in i.serving() for i in others)
    await trio.sleep(END_S)
    live = {i.peer.name for i in others}
    for instance in others:
        assert instance.serving() == live - {instance.peer.name}
        counters = instance.metrics.counters
        assert counters['savorycross_heartbeat_sent_bytes'] > 0
        assert counters['savorycross_heartbeat_received_bytes'] > 0
