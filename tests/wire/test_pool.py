"""Tests of the pool of connections to one address."""

import tracemalloc

import pytest
import trio

from savorycross.wire import buffers
from savorycross.wire import pool


class Exchange:
    """An exchange that records how it ended."""

    is_head = False
    on_chunk = None

    def __init__(self, data=b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'):
        self.data = data
        self.reply = None
        self.lost = None
        self.done = trio.Event()

    def accepts(self, reply):
        """Accept replies without a request id or with this one's."""
        return reply.header(b'request-id') in (None, b'mine')

    def on_reply(self, reply):
        """Record the reply."""
        self.reply = reply
        self.done.set()

    def on_lost(self, was_sent, reason):
        """Record whether the request was sent, and the reason."""
        self.lost = (was_sent, reason)
        self.done.set()


OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def _serve(stream, replies):
    """Answer each request with the next of the replies.

    None in place of a reply closes the connection.
    """
    async with stream:
        for data in replies:
            if not await stream.receive_some(65536):
                return
            if data is None:
                return
            await stream.send_all(data)
        await stream.receive_some(65536)


@pytest.fixture
async def listen(nursery):
    """A function that starts to serve replies and returns its address."""

    async def start(*replies):
        async def handle(stream):
            await _serve(stream, replies)

        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        return listener.socket.getsockname()[:2]

    return start


async def _call(conn_pool, max_idle_s=None):
    exchange = Exchange()
    assert conn_pool.send(exchange, max_idle_s) is not None
    with trio.fail_after(5):
        await exchange.done.wait()
    return exchange


async def test_connection_is_reused(listen, nursery):
    conn_pool = pool.Pool(await listen(OK, OK), nursery)
    for _ in range(2):
        exchange = await _call(conn_pool)
        assert exchange.reply.body == b'ok'
    assert conn_pool.opened_count == 1


async def test_stale_idle_connection_is_evicted_from_a_full_pool(
    listen, nursery
):
    conn_pool = pool.Pool(await listen(OK, OK), nursery)
    await _call(conn_pool)
    exchange = await _call(conn_pool, max_idle_s=-1.0)
    assert exchange.reply.body == b'ok'
    assert conn_pool.opened_count == 2


async def test_full_pool_does_not_send(listen, nursery):
    conn_pool = pool.Pool(await listen(OK), nursery)
    assert conn_pool.send(Exchange()) is not None
    assert conn_pool.send(Exchange()) is None


async def test_reply_to_another_request_is_dropped(listen, nursery):
    other = b'HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\nx'
    conn_pool = pool.Pool(await listen(other + OK), nursery)
    exchange = await _call(conn_pool)
    assert exchange.reply.body == b'ok'
    await _call(conn_pool)
    assert conn_pool.opened_count == 2


async def test_bytes_after_a_reply_close_the_connection(listen, nursery):
    conn_pool = pool.Pool(await listen(OK + b'rubbish', OK), nursery)
    assert (await _call(conn_pool)).reply.body == b'ok'
    exchange = await _call(conn_pool)
    assert exchange.reply.body == b'ok'
    assert conn_pool.opened_count == 2


async def test_reply_without_length_is_incomplete_while_its_connection_is_open(
    listen, nursery
):
    data = b'HTTP/1.1 200 OK\r\n\r\nrest'
    conn_pool = pool.Pool(await listen(data, None), nursery)
    exchange = Exchange()
    conn_pool.send(exchange)
    await trio.sleep(0.05)
    exchange2 = Exchange()
    assert conn_pool.send(exchange2) is None


async def test_truncated_reply_is_lost(listen, nursery):
    data = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut'

    async def handle(stream):
        await stream.receive_some(65536)
        await stream.send_all(data)
        await stream.aclose()

    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, handle, [listener])
    conn_pool = pool.Pool(listener.socket.getsockname()[:2], nursery)
    exchange = await _call(conn_pool)
    assert exchange.reply is None
    assert exchange.lost[0]


async def test_request_on_a_refused_connection_was_not_sent(nursery):
    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    address = listener.socket.getsockname()[:2]
    await listener.aclose()
    exchange = await _call(pool.Pool(address, nursery))
    assert exchange.lost[0] is False


async def test_clean_end_completes_a_reply_without_length(nursery):
    async def handle(stream):
        await stream.receive_some(65536)
        await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\nrest')
        await stream.aclose()

    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, handle, [listener])
    conn_pool = pool.Pool(listener.socket.getsockname()[:2], nursery)
    assert (await _call(conn_pool)).reply.body == b'rest'


async def test_pruned_pool_reuses_its_connection(listen, nursery):
    conn_pool = pool.Pool(await listen(OK, OK, OK), nursery)
    for _ in range(3):
        assert (await _call(conn_pool)).reply.body == b'ok'
        conn_pool.prune(trio.current_time())
    assert conn_pool.opened_count == 1


async def test_chunks_are_passed_on_as_they_arrive(listen, nursery):
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    conn_pool = pool.Pool(
        await listen(head + b'2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n', OK), nursery
    )
    exchange = Exchange()
    chunks = []
    exchange.on_chunk = chunks.append
    conn_pool.send(exchange)
    with trio.fail_after(5):
        await exchange.done.wait()
    assert chunks == [b'ab', b'cde']
    assert exchange.reply.body == b''
    assert (await _call(conn_pool)).reply.body == b'ok'
    assert conn_pool.opened_count == 1


# Guards against calls that wait in vain for a reply that has arrived.
@pytest.mark.parametrize('digits', [9, 400, 5000])
async def test_reply_that_states_an_endless_idle_time_is_passed_on(
    listen, nursery, digits
):
    keep_alive = b'OK\r\nKeep-Alive: timeout=' + b'9' * digits
    reply = OK.replace(b'OK', keep_alive)
    conn_pool = pool.Pool(await listen(reply, OK), nursery)
    for _ in range(2):
        assert (await _call(conn_pool)).reply.body == b'ok'
    assert conn_pool.opened_count == 1


# Guards against idle connections that each kept the bytes of their last reply.
async def test_idle_connections_hold_no_bytes(listen, nursery):
    size = 1_000_000
    reply = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    address = await listen(reply + b'x' * size)
    counts = buffers.Buffers()
    conn_pool = pool.Pool(address, nursery, counts)
    conn_pool.limit = 8
    tracemalloc.start()
    try:
        exchanges = [Exchange(b'GET / HTTP/1.1\r\n\r\n') for _ in range(8)]
        for exchange in exchanges:
            conn_pool.send(exchange)
        assert counts.sends == sum(len(e.data) for e in exchanges)
        with trio.fail_after(5):
            for exchange in exchanges:
                await exchange.done.wait()
                assert len(exchange.reply.body) == size
                exchange.reply = None
        await trio.testing.wait_all_tasks_blocked()
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert conn_pool.size == 8
    assert counts.count == 0
    assert held_bytes < size


async def test_replies_are_received_in_turn_while_memory_is_short(
    listen, nursery
):
    size = 1_000_000
    reply = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    address = await listen(reply + b'x' * size)
    counts = buffers.Buffers(limit_bytes=size, spare_bytes=size)
    conn_pool = pool.Pool(address, nursery, counts)
    conn_pool.limit = 8
    counts.requests = size
    exchanges = [Exchange() for _ in range(8)]
    peaks = []

    async def watch():
        while True:
            peaks.append(counts.replies)
            await trio.sleep(0)

    nursery.start_soon(watch)
    for exchange in exchanges:
        conn_pool.send(exchange)
    with trio.fail_after(10):
        for exchange in exchanges:
            await exchange.done.wait()
    assert all(e.reply for e in exchanges)
    assert max(peaks) <= size
