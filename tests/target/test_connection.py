"""Tests of a connection to a target."""

import math

import pytest
import trio
import trio.testing

from savorycross.target import connection

REPLY = b'HTTP/1.1 200 OK\r\nx-attempt: %s\r\ncontent-length: %d\r\n\r\n%s'


class Harness:
    """A Connection whose target is simulated by the test."""

    def __init__(self, nursery):
        self.completed = []
        ours, self.target = trio.testing.memory_stream_pair()
        self.conn = connection.Connection(
            ours, lambda conn, exchange: self.completed.append(exchange)
        )
        self.ended = trio.Event()
        nursery.start_soon(self._run)

    async def _run(self):
        self.is_cancelled = await self.conn.run()
        self.ended.set()

    async def ask(self, key=b'k1', deadline=math.inf):
        exchange = connection.Exchange(key, None)
        await self.conn.send(exchange, b'request', deadline)

    async def reply(self, key=b'k1', body=b'[]', cut=None):
        data = REPLY % (key, len(body), body)
        await self.target.send_all(data[:cut])
        await trio.testing.wait_all_tasks_blocked()


@pytest.fixture
def manual_clock():
    """A clock that moves only when the test advances it."""
    return trio.testing.MockClock()


@pytest.fixture
async def harness(manual_clock, nursery):
    return Harness(nursery)


async def test_complete_reply_is_passed_on_and_the_connection_reused(harness):
    await harness.ask()
    await harness.reply(body=b'[1]')
    assert [e.body for e in harness.completed] == [b'[1]']
    assert harness.conn.is_open
    await harness.ask(b'k2')
    await harness.reply(b'k2', b'[2]')
    assert [e.body for e in harness.completed] == [b'[1]', b'[2]']


async def test_reply_to_another_request_closes_the_connection(harness):
    await harness.ask(b'k1')
    await harness.reply(b'k0')
    await harness.ended.wait()
    assert harness.completed == []
    assert not harness.conn.is_open
    assert harness.conn.pending.key == b'k1'


# Guards against a connection that is used again after a reply that is none.
@pytest.mark.parametrize('status_line', [b'HTTP/1.1 000', b'HTTP/1.1 999'])
async def test_reply_with_an_invalid_status_closes_the_connection(
    harness, status_line
):
    await harness.ask()
    data = REPLY % (b'k1', 2, b'[]')
    await harness.target.send_all(data.replace(b'HTTP/1.1 200', status_line))
    await harness.ended.wait()
    assert harness.completed == []
    assert not harness.conn.is_open


async def test_truncated_reply_is_not_passed_on(harness):
    await harness.ask()
    await harness.reply(body=b'[1, 2, 3]', cut=-4)
    await harness.target.aclose()
    await harness.ended.wait()
    assert harness.completed == []


async def test_reply_without_a_request_closes_the_connection(harness):
    await harness.reply()
    await harness.ended.wait()
    assert harness.completed == []


async def test_second_reply_closes_the_connection(harness):
    await harness.ask()
    data = REPLY % (b'k1', 2, b'[]')
    await harness.target.send_all(data + data)
    await harness.ended.wait()
    assert len(harness.completed) == 1


async def test_garbage_closes_the_connection(harness):
    await harness.ask()
    await harness.target.send_all(b'\x00\xff nonsense\r\n\r\n')
    await harness.ended.wait()
    assert harness.completed == []


async def test_late_reply_is_not_passed_on(harness, manual_clock):
    await harness.ask(deadline=trio.current_time() + 1)
    manual_clock.jump(2)
    await harness.ended.wait()
    assert harness.is_cancelled
    assert harness.completed == []


async def test_end_of_an_idle_connection_is_detected(harness):
    await harness.target.aclose()
    await harness.ended.wait()
    assert not harness.conn.is_open
