"""Tests of the messages about rates and quotas on one socket."""

import socket

import msgspec
import trio

from savorycross.metrics import registry
from savorycross.quota import protocol as quota_protocol
from savorycross.rate import protocol
from savorycross.rate import transport
from standins import loopback

RATE = protocol.RateMessage(
    protocol.FORMAT, 'a', True, (protocol.Row('t', 2.0, 5, 1),)
)
QUOTA = quota_protocol.QuotaMessage(quota_protocol.FORMAT, 'a', True, 'w', 2)
TOO_MANY = (quota_protocol.FORMAT, 'a', True, 'w', 10**6)


# Guards against messages of one type that are taken for another, and against
# a socket that stops at a malformed one.
async def test_messages_of_each_type_reach_their_listener(nursery):
    address = loopback.find_address()
    metrics = registry.Registry()
    tested = transport.RateTransport(address, lambda name: address, metrics)
    rates, quotas = [], []
    tested.listen(protocol.decode, rates.append)
    tested.listen(quota_protocol.decode, quotas.append)
    nursery.start_soon(tested.run)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b'', b'\xc1', msgspec.msgpack.encode(TOO_MANY)):
            sock.sendto(data, address)
    with trio.fail_after(5):
        while not (rates and quotas):
            tested.send('a', RATE)
            tested.send('a', QUOTA)
            await trio.sleep(0.01)
    assert set(rates) == {RATE} and set(quotas) == {QUOTA}
