"""Connections of callers."""

import pytest
import trio

from savorycross.wire import messages
from savorycross.wire import server


class Handled:
    """A handler that answers when the test says so."""

    def __init__(self):
        self.requests = []
        self.responds = []
        self.cancelled = 0
        self.answers_at_once = True

    def __call__(self, request, respond):
        """Keep the request."""
        self.requests.append(request)
        self.responds.append(respond)
        if self.answers_at_once:
            respond(messages.Reply(200, ((b'X-A', b'1'),), request.body))
        return self

    def cancel(self):
        """Count the cancellation."""
        self.cancelled += 1


class World:
    """A server, and a raw connection to it."""

    def __init__(self, found, handled, stream, nursery):
        self.server = found
        self.handled = handled
        self.stream = stream
        self.nursery = nursery

    async def read(self, n=65536):
        """Return the next bytes."""
        with trio.fail_after(5):
            return await self.stream.receive_some(n)

    async def read_all(self):
        """Return all bytes until the end."""
        data = b''
        with trio.fail_after(5):
            while more := await self.stream.receive_some(65536):
                data += more
        return data


@pytest.fixture
async def world(nursery):
    handled = Handled()
    found = server.Server(handled, nursery)
    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')

    async def adopt(stream):
        sock = stream.socket
        found.adopt(server.transports.detach(sock))
        await trio.sleep_forever()

    nursery.start_soon(trio.serve_listeners, adopt, [listener])
    stream = await trio.open_tcp_stream(*listener.socket.getsockname()[:2])
    return World(found, handled, stream, nursery)


GET = b'GET /a?b HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n'


async def test_request_is_handed_over_as_it_was_sent(world):
    await world.stream.send_all(GET)
    assert (await world.read()).startswith(b'HTTP/1.1 200 OK\r\nX-A: 1')
    (request,) = world.handled.requests
    assert request.target == b'/a?b'
    assert request.headers == ((b'Host', b'h'), (b'X', b'y'))


async def test_body_in_chunks_is_put_together(world):
    await world.stream.send_all(
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    assert (await world.read()).endswith(b'\r\n\r\nabcde')


async def test_requests_sent_ahead_are_answered_in_order(world):
    world.handled.answers_at_once = False
    await world.stream.send_all(GET + GET.replace(b'/a', b'/c'))
    await trio.testing.wait_all_tasks_blocked()
    assert len(world.handled.requests) == 1
    world.handled.responds[0](messages.Reply(200))
    await trio.testing.wait_all_tasks_blocked()
    assert world.handled.requests[1].target == b'/c?b'


async def test_leaving_caller_cancels_its_request(world):
    world.handled.answers_at_once = False
    await world.stream.send_all(GET)
    await trio.sleep(0.05)
    await world.stream.aclose()
    await trio.sleep(0.05)
    assert world.handled.cancelled == 1


@pytest.mark.parametrize(
    'data',
    [
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Content-Length: 4\r\n\r\nabcd',
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'GET /a HTTP/1.1\nHost: h\n\n',
        b'GET /a HTTP/1.1\r\nHost: h\r\nA: b\n\r\n',
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\nabc\r\n0\r\n\r\n',
        b'nonsense\r\n\r\n',
    ],
)
async def test_ambiguous_request_is_refused_and_the_connection_ends(
    world, data
):
    await world.stream.send_all(data)
    answer = await world.read_all()
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert not world.handled.requests


async def test_long_headers_are_refused(world):
    world.server.limits = server.Limits(header_bytes=100)
    await world.stream.send_all(
        b'GET /a HTTP/1.1\r\nHost: h\r\nX: ' + b'y' * 200
    )
    assert (await world.read_all()).startswith(b'HTTP/1.1 431 ')


@pytest.mark.parametrize(
    'rest',
    [
        b'Content-Length: 11\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\nb\r\n' + b'x' * 11 + b'\r\n',
    ],
)
async def test_long_body_is_refused(world, rest):
    world.server.limits = server.Limits(body_bytes=10)
    await world.stream.send_all(b'POST /a HTTP/1.1\r\nHost: h\r\n' + rest)
    assert (await world.read_all()).startswith(b'HTTP/1.1 413 ')
    assert not world.handled.requests


async def test_slow_headers_time_out(world):
    await world.stream.send_all(b'GET /a HTTP/1.1\r\n')
    await trio.sleep(0.05)
    (found,) = world.server._connections
    found.sweep(trio.current_time() + 4.9, server.Limits())
    assert found._transport.is_open
    found.sweep(trio.current_time() + 5.1, server.Limits())
    assert (await world.read_all()).startswith(b'HTTP/1.1 408 ')


async def test_idle_connection_is_closed_without_an_answer(world):
    await trio.sleep(0.05)
    (found,) = world.server._connections
    found.sweep(trio.current_time() + 61, server.Limits())
    assert await world.read_all() == b''


async def test_stopping_server_says_that_it_closes(world):
    world.server.is_stopping = True
    await world.stream.send_all(GET)
    assert b'Connection: close' in await world.read_all()


async def test_caller_that_wants_to_close_gets_its_answer(world):
    await world.stream.send_all(
        b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    )
    assert (await world.read_all()).startswith(b'HTTP/1.1 200 ')


async def test_long_answer_to_a_slow_reader_is_whole(world):
    world.handled.answers_at_once = False
    await world.stream.send_all(GET)
    await trio.sleep(0.05)
    body = b'x' * 8_000_000
    world.handled.responds[0](messages.Reply(200, (), body))
    data = b''
    while len(data) < len(body):
        data += await world.read()
    assert data.endswith(body[-100:])


async def test_failing_handler_ends_its_connection_alone(world):
    def fail(request, respond):
        raise ValueError('broken')

    world.server.handle = fail
    await world.stream.send_all(GET)
    assert await world.read_all() == b''
    assert not world.server._connections


async def test_pieces_of_a_reply_go_out_as_they_come(world):
    world.handled.answers_at_once = False
    await world.stream.send_all(GET + GET.replace(b'/a', b'/c'))
    await trio.testing.wait_all_tasks_blocked()
    respond = world.handled.responds[0]
    respond(messages.Piece(b'ab', False))
    first = await world.read()
    assert first.endswith(b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n')
    assert len(world.handled.requests) == 1
    respond(messages.Piece(b'c', True))
    assert await world.read() == b'1\r\nc\r\n0\r\n\r\n'
    assert len(world.handled.requests) == 2
