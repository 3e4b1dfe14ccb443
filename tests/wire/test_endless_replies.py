"""Peers that send bytes without end, in a head or in a body."""

import tracemalloc

import pytest
import trio

from savorycross.wire import buffers
from savorycross.wire import pool
from savorycross.wire import reply_size
from savorycross.wire import server
from savorycross.wire import transport
from tests.wire import test_pool

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Pieces that are repeated until the connection is closed, and what precedes
# them.
ENDLESS = {
    'header lines': (HEAD, b'X-More: ' + b'a' * 500 + b'\r\n'),
    'one header': (HEAD + b'X-Long: ', b'a' * 4096),
    'a status line': (b'HTTP/1.1 200 ', b'O' * 4096),
    'informational replies': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunk extensions': (CHUNKED + b'1;e=', b'a' * 4096),
    'trailers': (CHUNKED + b'0\r\n', b'X-More: ' + b'a' * 500 + b'\r\n'),
    'a body until close': (HEAD + b'\r\n', b'a' * 65536),
    'chunks': (CHUNKED, b'10000\r\n' + b'a' * 65536 + b'\r\n'),
    'blank lines': (b'', b'\r\n' * 2048),
    'a body with a huge length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        b'a' * 65536,
    ),
}
# Bytes that a peer may send before its connection is closed.
MAX_SENT_BYTES = 2 * reply_size.MAX_BODY_BYTES
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


@pytest.fixture
async def flood(nursery):
    """A function that serves endless bytes and returns address and counts.

    A peer that isn't stopped ends after twice the bytes that it may send.
    """

    async def start(first, piece):
        sent = []

        async def handle(stream):
            await stream.receive_some(65536)
            data = first
            try:
                while sum(sent) < 2 * MAX_SENT_BYTES:
                    await stream.send_all(data)
                    sent.append(len(data))
                    data = piece * max(1, 65536 // len(piece))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        return listener.socket.getsockname()[:2], sent

    return start


@pytest.mark.parametrize('name', ENDLESS)
async def test_endless_reply_is_lost_and_its_connection_closed(
    name, flood, nursery
):
    address, sent = await flood(*ENDLESS[name])
    conn_pool = pool.Pool(address, nursery)
    tracemalloc.start()
    try:
        exchange = await test_pool._call(conn_pool)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    await trio.sleep(0.05)
    assert exchange.reply is None
    assert exchange.lost[0]
    assert conn_pool.size == 0
    assert sum(sent) < MAX_SENT_BYTES
    assert peak_bytes < MAX_SENT_BYTES


async def test_many_endless_bodies_share_one_bound(flood, nursery):
    buffered = buffers.Buffers(
        MAX_BUFFERED_BYTES, spare_bytes=reply_size.MAX_BODY_BYTES
    )
    pools = []
    for _ in range(8):
        address, _ = await flood(*ENDLESS['a body until close'])
        pools.append(pool.Pool(address, nursery, buffered))
    peaks = [0]
    exchanges = [test_pool.Exchange() for _ in pools]

    async def watch():
        while True:
            peaks.append(buffered.count)
            await trio.sleep(0)

    nursery.start_soon(watch)
    for conn_pool, exchange in zip(pools, exchanges, strict=True):
        conn_pool.send(exchange)
    with trio.fail_after(20):
        for exchange in exchanges:
            await exchange.done.wait()
    assert all(e.lost for e in exchanges)
    spare = len(pools) * transport.RECEIVE_BYTES
    assert max(peaks) <= MAX_BUFFERED_BYTES + spare
    assert buffered.count == 0


async def test_chunks_of_a_byte_are_a_valid_body(nursery):
    body = b'1\r\nx\r\n' * 30000 + b'0\r\n\r\n'

    async def handle(stream):
        await stream.receive_some(65536)
        await stream.send_all(CHUNKED + body)
        await stream.receive_some(1)

    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, handle, [listener])
    exchange = await test_pool._call(
        pool.Pool(listener.socket.getsockname()[:2], nursery)
    )
    assert exchange.reply.body == b'x' * 30000


# Guards against small fragments that took several times their bytes.
async def test_body_of_a_reply_in_small_chunks_takes_little_memory(nursery):
    count = 128
    data = b'10\r\n' + b'a' * 16 + b'\r\n'

    async def handle(stream):
        await stream.receive_some(65536)
        await stream.send_all(CHUNKED)
        for _ in range(count):
            await stream.send_all(data * 1024)
        await stream.send_all(b'0\r\n\r\n')
        await stream.receive_some(1)

    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, handle, [listener])
    conn_pool = pool.Pool(listener.socket.getsockname()[:2], nursery)
    tracemalloc.start()
    try:
        exchange = await test_pool._call(conn_pool)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    size = count * 1024 * 16
    assert len(exchange.reply.body) == size
    assert peak_bytes < 3 * size


async def test_body_of_a_caller_in_small_chunks_takes_little_memory(nursery):
    requests = []
    caller_server = server.Server(
        lambda request, respond: requests.append(request), nursery
    )
    connection = server.Connection(None, caller_server, 0.0)
    connection._transport = _OpenTransport()
    connection._feed(
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    tracemalloc.start()
    try:
        for _ in range(100):
            connection._feed(b'4\r\nabcd\r\n' * 1000)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    connection._feed(b'0\r\n\r\n')
    assert len(requests[0].body) == 400_000
    assert peak_bytes < 2 * 400_000


class _OpenTransport:
    """A transport of a connection that is open."""

    is_open = True
    has_pending = False


async def test_endless_trailers_of_a_caller_are_rejected(nursery):
    requests = []
    caller_server = server.Server(
        lambda request, respond: requests.append(request), nursery
    )

    async def accept(stream):
        caller_server.serve_socket(transport.detach(stream.socket))

    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, accept, [listener])
    stream = await trio.open_tcp_stream(*listener.socket.getsockname()[:2])
    await stream.send_all(
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n'
    )
    line = b'X-More: ' + b'a' * 500 + b'\r\n'
    with trio.fail_after(5):
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(2 * server.MAX_HEADER_BYTES):
                await stream.send_all(line)
            raise AssertionError('trailers were accepted without end')
    assert not requests
