"""Callers that make an instance hold more than its machine has."""

import socket

import pytest
import trio

from savorycross.wire import client
from savorycross.wire import messages
from soak import process
from soak import testbed

SEED = 7002
MEMORY_MB = 100
# Bytes of a body, of which each kind of caller makes the instance hold more
# than its machine has.
BODY_BYTES = 200_000
REPLY_BYTES = 1_000_000
DURATION_S = 6.0


@pytest.fixture
async def small_instance(nursery, tmp_path):
    """A testbed with one instance on a machine with little memory."""
    bed = testbed.Testbed(SEED, tmp_path, nursery, n_instances=1)
    try:
        await bed.start()
        (instance,) = bed.instances
        instance.memory_mb = MEMORY_MB
        instance.write_settings()
        # The settings are read again within seconds.
        await trio.sleep(2.5)
        for proxied in bed.backends:
            _make_replies_long(proxied.backend)
        yield instance
    finally:
        bed.stop()


def _make_replies_long(backend):
    make_reply = backend._reply

    def make_long_reply(id_, headers):
        reply = make_reply(id_, headers)
        if not id_.startswith('large'):
            return reply
        body = b'x' * REPLY_BYTES
        return messages.Reply(reply.status, reply.headers, body)

    backend._reply = make_long_reply


def _encode(method, id_, body_bytes=0):
    return (
        b'%b /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %b\r\n'
        b'Content-Length: %d\r\n\r\n' % (method, id_, body_bytes)
    )


async def _send_slowly(address, number):
    """Send a request whose body stays incomplete."""
    stream = await trio.open_tcp_stream(*address)
    data = _encode(b'POST', b'slow-%d' % number, 2 * BODY_BYTES)
    await stream.send_all(data + b'x' * BODY_BYTES)
    await trio.sleep_forever()


async def _pipeline(address, number):
    """Send many large requests, and read the replies."""
    stream = await trio.open_tcp_stream(*address)

    async def read():
        while await stream.receive_some(65536):
            pass

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        for n in range(20):
            id_ = b'pipelined-%d-%d' % (number, n)
            data = _encode(b'POST', id_, BODY_BYTES)
            await stream.send_all(data + b'x' * BODY_BYTES)


async def _read_nothing(address, number):
    """Ask for long replies and read none of them."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect(address)
    stream = trio.SocketStream(sock)
    for n in range(20):
        await stream.send_all(_encode(b'GET', b'large-%d-%d' % (number, n)))
    await trio.sleep_forever()


async def _ignore_loss(call, address, number):
    """Make a call that the instance may end by closing the connection."""
    try:
        await call(address, number)
    except* trio.BrokenResourceError:
        pass


async def _call(address, nursery):
    """Return the Reply to a proper request."""
    http_client = client.Client(address, nursery)
    headers = (
        (b'Host', b'h.example'),
        (b'Request-Id', b'proper'),
        (b'Deadline-Ms', b'1500'),
    )
    return await http_client.call(b'GET', b'/one/x', b'', 5.0, headers)


# Guards against a process that the machine ended for its memory.
async def test_instance_stays_within_its_memory_and_serves_others(
    small_instance, nursery
):
    address = small_instance.address('front')
    statuses = []
    async with trio.open_nursery() as callers:
        for number in range(MEMORY_MB * 1_000_000 // BODY_BYTES):
            callers.start_soon(_ignore_loss, _send_slowly, address, number)
        for number in range(MEMORY_MB * 500_000 // REPLY_BYTES):
            callers.start_soon(_ignore_loss, _pipeline, address, number)
            callers.start_soon(_ignore_loss, _read_nothing, address, number)
        end_at = trio.current_time() + DURATION_S
        while trio.current_time() < end_at:
            reply = await _call(address, nursery)
            statuses.append(reply.status)
            await trio.sleep(0.1)
        callers.cancel_scope.cancel()
    assert small_instance.is_running
    assert small_instance.peak_memory_mb < MEMORY_MB
    assert statuses.count(200) > len(statuses) / 2
    metrics_address = (small_instance.ip, process.METRICS_PORT)
    reply = await _call(metrics_address, nursery)
    assert b'savorycross_shed{reason="unfinished"}' in reply.body
