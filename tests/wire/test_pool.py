"""Connections to one address."""

import pytest
import trio

from savorycross.wire import pool


class Exchange:
    """An exchange that keeps what it hears."""

    is_head = False
    on_piece = None

    def __init__(self, data=b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'):
        self.data = data
        self.reply = None
        self.lost = None
        self.done = trio.Event()

    def accepts(self, reply):
        """Take replies that carry no other identity."""
        return reply.header(b'request-id') in (None, b'mine')

    def on_reply(self, reply):
        """Keep the reply."""
        self.reply = reply
        self.done.set()

    def on_lost(self, was_sent, reason):
        """Keep the reason."""
        self.lost = (was_sent, reason)
        self.done.set()


OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def _serve(stream, replies):
    """Answer each request with the next of the replies."""
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
    """Return a function that serves replies and returns the address."""

    async def start(*replies):
        async def handle(stream):
            await _serve(stream, replies)

        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        return listener.socket.getsockname()[:2]

    return start


async def _call(found, max_idle_s=None):
    exchange = Exchange()
    assert found.send(exchange, max_idle_s) is not None
    with trio.fail_after(5):
        await exchange.done.wait()
    return exchange


async def test_connection_is_used_again(listen, nursery):
    found = pool.Pool(await listen(OK, OK), nursery)
    for _ in range(2):
        exchange = await _call(found)
        assert exchange.reply.body == b'ok'
    assert found.opened == 1


async def test_old_idle_connection_makes_room_for_a_fresh_one(listen, nursery):
    found = pool.Pool(await listen(OK, OK), nursery)
    await _call(found)
    exchange = await _call(found, max_idle_s=-1.0)
    assert exchange.reply.body == b'ok'
    assert found.opened == 2


async def test_full_pool_takes_nothing(listen, nursery):
    found = pool.Pool(await listen(OK), nursery)
    assert found.send(Exchange()) is not None
    assert found.send(Exchange()) is None


async def test_reply_of_another_request_is_dropped(listen, nursery):
    other = b'HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\nx'
    found = pool.Pool(await listen(other + OK), nursery)
    exchange = await _call(found)
    assert exchange.reply.body == b'ok'
    await _call(found)
    assert found.opened == 2


async def test_bytes_after_a_reply_end_the_connection(listen, nursery):
    found = pool.Pool(await listen(OK + b'rubbish', OK), nursery)
    assert (await _call(found)).reply.body == b'ok'
    exchange = await _call(found)
    assert exchange.reply.body == b'ok'
    assert found.opened == 2


async def test_reply_without_length_ends_with_its_connection(listen, nursery):
    data = b'HTTP/1.1 200 OK\r\n\r\nrest'
    found = pool.Pool(await listen(data, None), nursery)
    exchange = Exchange()
    found.send(exchange)
    await trio.sleep(0.05)
    exchange2 = Exchange()
    assert found.send(exchange2) is None


async def test_cut_reply_is_lost(listen, nursery):
    data = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut'

    async def handle(stream):
        await stream.receive_some(65536)
        await stream.send_all(data)
        await stream.aclose()

    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, handle, [listener])
    found = pool.Pool(listener.socket.getsockname()[:2], nursery)
    exchange = await _call(found)
    assert exchange.reply is None
    assert exchange.lost[0]


async def test_refused_connection_was_not_sent(nursery):
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
    found = pool.Pool(listener.socket.getsockname()[:2], nursery)
    assert (await _call(found)).reply.body == b'rest'


async def test_pruned_pool_uses_its_connection_again(listen, nursery):
    found = pool.Pool(await listen(OK, OK, OK), nursery)
    for _ in range(3):
        assert (await _call(found)).reply.body == b'ok'
        found.prune(trio.current_time())
    assert found.opened == 1


async def test_chunks_are_handed_over_as_they_come(listen, nursery):
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    found = pool.Pool(
        await listen(head + b'2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n', OK), nursery
    )
    exchange = Exchange()
    pieces = []
    exchange.on_piece = pieces.append
    found.send(exchange)
    with trio.fail_after(5):
        await exchange.done.wait()
    assert pieces == [b'ab', b'cde']
    assert exchange.reply.body == b''
    assert (await _call(found)).reply.body == b'ok'
    assert found.opened == 1
