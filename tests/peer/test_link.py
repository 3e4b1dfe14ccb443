"""Tests of the links between instances."""

import dataclasses
import functools

import pytest
import trio
import trio.testing

from savorycross.events import clock
from savorycross.membership import member
from savorycross.metrics import registry
from savorycross.peer import codec
from savorycross.peer import frames
from savorycross.peer import link
from savorycross.peer import messages

OWN = member.Member('a', 'x', '127.0.0.1', 1, 2, 3)


class Harness:
    """The links of one instance, with what they call back."""

    def __init__(self, nursery):
        self.received = []
        self.lost = []
        self.is_up = trio.Event()
        self.metrics = registry.Registry()
        self.links = link.PeerLinks(
            OWN,
            clock.HybridClock(lambda: 1.0),
            nursery,
            lambda name, message: self.received.append((name, message)),
            lambda name: self.is_up.set(),
            self.lost.append,
            self.metrics,
        )

    async def receive(self, *chunks):
        """Accept a link, send it bytes and wait until it ends."""
        ours, theirs = trio.testing.memory_stream_pair()
        for chunk in chunks:
            await theirs.send_all(chunk)
        await theirs.send_eof()
        await self.links.accept(ours)


HELLO = frames.pack(codec.encode(messages.Hello(1, 'b', 7)))
PULL = messages.Pull('view', 3)


@pytest.fixture
async def harness(nursery):
    return Harness(nursery)


async def test_message_after_a_hello_is_passed_on(harness):
    await harness.receive(HELLO, frames.pack(codec.encode(PULL)))
    assert harness.received == [('b', PULL)]


@pytest.mark.parametrize(
    'chunk',
    [
        frames.pack(codec.encode(PULL)),
        frames.pack(codec.encode(messages.Hello(99, 'b', 7))),
        frames.pack(b'garbage!'),
        b'\xff' * 64,
        b'GET / HTTP/1.1\r\n\r\n',
    ],
    ids=['no-hello', 'version', 'garbage', 'oversized', 'http'],
)
async def test_link_that_violates_the_protocol_is_closed(harness, chunk):
    await harness.receive(chunk, frames.pack(codec.encode(PULL)))
    assert harness.received == []
    assert harness.metrics.counters['savorycross_peer_protocol_errors'] == 1


async def test_incomplete_frame_is_dropped(harness):
    await harness.receive(HELLO, frames.pack(codec.encode(PULL))[:-3])
    assert harness.received == []


class Acceptor:
    """A peer that keeps open the streams it has accepted."""

    def __init__(self):
        self.streams = []

    async def accept(self, stream):
        self.streams.append(stream)
        await trio.sleep_forever()


@pytest.fixture
async def acceptor(nursery):
    peer = Acceptor()
    serve = functools.partial(trio.serve_tcp, host='127.0.0.1')
    (listener,) = await nursery.start(serve, peer.accept, 0)
    port = listener.socket.getsockname()[1]
    peer.member = member.Member('b', 'x', '127.0.0.1', 1, port, 7)
    return peer


async def wait_until(condition):
    with trio.fail_after(20.0):
        while not condition():
            await trio.sleep(0.005)


async def test_link_to_a_former_member_stays_open_until_it_closes(
    harness, acceptor
):
    harness.links.reconcile([acceptor.member])
    await harness.is_up.wait()
    harness.links.reconcile([])
    await trio.testing.wait_all_tasks_blocked()
    assert harness.lost == []
    assert harness.links.is_linked('b', 7)
    assert not harness.links.is_linked('b', 8)
    assert harness.links.send('b', PULL)
    await wait_until(lambda: acceptor.streams)
    await acceptor.streams[0].aclose()
    await wait_until(lambda: harness.lost == ['b'])
    assert not harness.links.is_linked('b', 7)
    await trio.sleep(2 * link.RECONNECT_PAUSE_S)
    assert len(acceptor.streams) == 1


async def test_link_to_a_former_incarnation_is_closed(harness, acceptor):
    harness.links.reconcile([acceptor.member])
    await harness.is_up.wait()
    harness.links.reconcile(
        [dataclasses.replace(acceptor.member, incarnation=8)]
    )
    await wait_until(lambda: harness.lost == ['b'])
