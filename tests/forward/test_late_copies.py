"""Replies that a target sends a second time, on a connection in use again."""

import pytest
import trio

from savorycross.forward import single_call
from savorycross.route import route
from savorycross.wire import messages
from savorycross.wire import pool
from tests.forward import fake_engine

END_S = 5.0
ANSWER = (200, ((b'Server-Stamp', b's.1'),))
REFUSAL = (503, ((b'Not-Run', b'1'),))
MISDIRECTED = (421, {'Not_Run': b'1'})
FAILURE = (500, {})


class CopyingTarget:
    """A target whose first reply comes twice.

    The copy arrives where the next reply on its connection is due. Replies
    after the first one are successful; ``runs`` counts them.

    :param is_chunked: whether the first reply, a refusal, has no length.
    """

    def __init__(self, is_chunked):
        self.runs = 0
        self.connections = 0
        self._first = _encode(*REFUSAL, is_chunked)
        self._is_first = True

    async def serve(self, stream):
        """Answer the requests on a connection."""
        copy = b''
        self.connections += 1
        async with stream:
            while await stream.receive_some(65536):
                if self._is_first:
                    self._is_first = False
                    copy = self._first
                    await stream.send_all(self._first)
                    continue
                self.runs += 1
                await stream.send_all(copy + _encode(*ANSWER, False))
                copy = b''


def _encode(status, headers, is_chunked):
    headers = ((b'Request-Id', fake_engine.ID), *headers)
    if not is_chunked:
        return messages.encode_reply(
            messages.Reply(status, headers, b'x'), True
        )
    head = b''.join(b'%s: %s\r\n' % pair for pair in headers)
    head += b'Transfer-Encoding: chunked\r\n'
    return b'HTTP/1.1 %d .\r\n%s\r\n1\r\nx\r\n0\r\n\r\n' % (status, head)


class RealPoolEngine(fake_engine.FakeEngine):
    """An engine with connections, whose only target has an address.

    :param address: host and port of the target.
    :param nursery: runs the connections.
    """

    def __init__(self, address, nursery):
        super().__init__()
        self.address = address
        self.nursery = nursery
        self.add_target('a', 's')

    def _make_pool(self, address):
        return pool.Pool(self.address, self.nursery)


async def _call(target, nursery, method, **fields):
    """Call the target; return the outcome and the status of the reply."""
    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, target.serve, [listener])
    address = listener.socket.getsockname()[:2]
    engine = RealPoolEngine(address, nursery)
    ended = trio.Event()
    ends = []

    def end(reply, outcome):
        ends.append((outcome, reply.status))
        ended.set()

    single_call.SingleCall(
        engine,
        fake_engine.make_call(engine.time, method),
        fake_engine.make_route(['s'], route.Shape.ONE, **fields),
        's',
        engine.time + END_S,
        end,
    ).start()
    with trio.fail_after(END_S):
        await ended.wait()
    return ends


# Guards against a booking that ran twice, as a copy of the refusal of its
# first send was taken for the reply to its second.
@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('is_idempotent', [False, True])
async def test_copy_of_a_refusal_is_not_the_reply_to_the_next_send(
    nursery, is_idempotent, is_chunked
):
    target = CopyingTarget(is_chunked)
    ends = await _call(target, nursery, b'POST', is_idempotent=is_idempotent)
    assert ends == [('answered', 200)]
    assert target.runs == 1
    assert target.connections == 2


@pytest.mark.parametrize('reply', [MISDIRECTED, FAILURE])
def test_target_that_failed_gets_no_further_send_of_the_call(reply):
    engine = fake_engine.FakeEngine()
    engine.add_target('a', 's')
    fake_engine.start_call(engine)
    status, more = reply
    engine.sends[0].on_reply(fake_engine.reply(status=status, **more))
    engine.advance(END_S)
    assert len(engine.sends) == 1
