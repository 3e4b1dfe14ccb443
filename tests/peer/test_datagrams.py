"""Datagrams that cannot be handled or sent."""

import dataclasses
import socket

import trio

from savorycross.membership import member
from savorycross.metrics import registry
from savorycross.peer import codec
from savorycross.peer import datagrams
from savorycross.peer import messages
from standins import loopback

ADDRESSES = (loopback.find_address(), loopback.find_address())
PING = messages.Datagram('ping', 'a', 1, 2, '', 3, 4, 5, 6, False)


async def test_error_in_one_datagram_does_not_end_the_others(nursery):
    handled = []

    def handle(datagram):
        handled.append(datagram.sequence)
        if datagram.sequence == 2:
            raise KeyError('unknown sender')

    metrics = registry.Registry()
    tested = datagrams.UdpDatagrams(ADDRESSES[0], handle, metrics)
    await tested.open()
    nursery.start_soon(tested.run)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b'\xff' * 40, ADDRESSES[0])
        for sequence in (2, 7):
            ping = dataclasses.replace(PING, sequence=sequence)
            sock.sendto(codec.encode_datagram(ping), ADDRESSES[0])
        with trio.fail_after(5):
            while len(handled) < 2:
                await trio.sleep(0.01)
    assert handled == [2, 7]
    assert 'heartbeat_handling_errors 1' in metrics.render()


async def test_member_with_an_impossible_port_gets_nothing():
    metrics = registry.Registry()
    tested = datagrams.UdpDatagrams(ADDRESSES[1], None, metrics)
    await tested.open()
    broken = member.Member('b', 'x', '127.0.0.1', 1, 99999, 3)
    await tested.send(broken, PING)
    assert 'heartbeat_send_errors 1' in metrics.render()
    tested.close()
