"""Tests of the client whose calls wait for their reply."""

import math

import pytest
import trio

from savorycross import errors
from savorycross.wire import client

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n'
ATTEMPTS = 2 * client.MAX_CONNECTIONS


@pytest.fixture
async def listen(nursery):
    """Return a function that starts a server, and returns its address.

    The server answers each request with the same bytes, and nothing more.
    """

    async def start(data):
        async def handle(stream):
            async with stream:
                while await stream.receive_some(65536):
                    if data:
                        await stream.send_all(data)

        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        return listener.socket.getsockname()[:2]

    return start


async def _wait_for_no_connection(one):
    with trio.fail_after(5):
        while one.connection_count:
            await trio.sleep(0.001)


# Guards against watches of a silent store that used up its connections.
@pytest.mark.parametrize('data', [b'', HEAD, HEAD + b'\r\nbody'])
@pytest.mark.parametrize('delay_s', [0.0, 0.02])
async def test_cancelled_call_gives_its_connection_back(
    listen, nursery, data, delay_s
):
    one = client.Client(await listen(data), nursery)
    for _ in range(ATTEMPTS):
        with trio.move_on_after(delay_s) as scope:
            await one.call(b'GET', b'/', timeout_s=math.inf)
        assert scope.cancelled_caught
        await _wait_for_no_connection(one)


async def test_call_whose_timeout_ends_gives_its_connection_back(
    listen, nursery
):
    one = client.Client(await listen(HEAD), nursery)
    for _ in range(ATTEMPTS):
        with pytest.raises(errors.ConnectionLostError, match='no reply in'):
            await one.call(b'GET', b'/', timeout_s=0.01)
        await _wait_for_no_connection(one)


async def test_call_cancelled_after_its_reply_leaves_its_connection_idle(
    listen, nursery
):
    one = client.Client(await listen(HEAD + b'\r\nnine more'), nursery)
    with trio.CancelScope() as scope:
        await one.call(b'GET', b'/')
        scope.cancel()
    assert one.connection_count == 1
    assert (await one.call(b'GET', b'/')).body == b'nine more'
    assert one.connection_count == 1
