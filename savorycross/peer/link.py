"""Streams between instances: one outgoing link to each peer."""

import math

import trio

from savorycross import errors
from savorycross.peer import codec
from savorycross.peer import frames
from savorycross.peer import messages

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
RECONNECT_PAUSE_S = 0.2
# Longest time that a link to a former member is kept; a member that leaves
# ends within it, and a frozen one is not waited for much longer.
RETIRED_LINK_S = 10.0
RECEIVE_BYTES = 256 * 1024
MAX_BATCH_FRAMES = 256


class PeerLinks:
    """Sends messages to peers and hands over those received.

    Every link carries messages one way, from the instance that opened it;
    answers come back on a link of the other side. A message to this
    instance itself is handed over without encoding.

    :param own: this instance's Member.
    :param clock: HybridClock that stamps and merges messages.
    :param on_message: called with the sender's name and a message.
    :param on_up: called with a name when a link to it is up.
    :param on_lost: called with a name when a link to it ends.
    :param metrics: Registry.
    """

    def __init__(
        self, own, clock, nursery, on_message, on_up, on_lost, metrics
    ):
        self._own = own
        self._clock = clock
        self._nursery = nursery
        self._on_message = on_message
        self._on_up = on_up
        self._on_lost = on_lost
        self._metrics = metrics
        self._links = {}
        self._retired = {}

    def reconcile(self, members):
        """Open links to just these members, in their incarnations.

        A link to a former member stays until the member closes it: answers
        to what it was sent are still to come.
        """
        wanted = {m.name: m for m in members if m.name != self._own.name}
        for name in list(self._links):
            if self._links[name].member != wanted.get(name):
                self._retire(name, self._links.pop(name))
        for name in self._retired.keys() & wanted.keys():
            self._retired.pop(name).close()
        for name, found in wanted.items():
            if name not in self._links:
                link = _Link(found, self._own, self._on_up, self._on_lost)
                self._links[name] = link
                self._nursery.start_soon(link.run)

    def _retire(self, name, link):
        if not link.is_up:
            link.close()
            return
        link.retire()
        self._retired[name] = link

    def _find_up(self, name):
        """Return the link to a peer if it is up, or None."""
        link = self._links.get(name) or self._retired.get(name)
        return link if link is not None and link.is_up else None

    def is_linked(self, name, incarnation):
        """Tell whether a link to a process of an instance is up."""
        link = self._find_up(name)
        return link is not None and link.member.incarnation == incarnation

    def send(self, name, message):
        """Queue a message to a peer; return False if no link is up."""
        if name == self._own.name:
            self._on_message(name, message)
            return True
        link = self._find_up(name)
        if link is None:
            return False
        data = codec.encode(message, self._clock.tick())
        self._metrics.count('peer_bytes_sent', len(data))
        self._metrics.count('peer_frames_sent')
        link.send(frames.pack(data))
        return True

    async def accept(self, stream):
        """Serve a link that a peer opened."""
        async with stream:
            try:
                await self._receive(stream)
            except errors.PeerProtocolError:
                self._metrics.count('peer_protocol_errors')
            except (trio.BrokenResourceError, trio.TooSlowError):
                pass

    async def _receive(self, stream):
        reader = frames.FrameReader()
        name = None
        while True:
            timeout = HELLO_TIMEOUT_S if name is None else math.inf
            with trio.fail_after(timeout):
                data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                return
            for frame in reader.feed(data):
                message, stamp = codec.decode(frame)
                self._clock.merge(stamp)
                if name is None:
                    name = _greet(message)
                    continue
                self._on_message(name, message)


def _greet(message):
    """Return the sender's name in the first message of a link."""
    if not isinstance(message, messages.Hello):
        raise errors.PeerProtocolError('first frame is no hello')
    if message.protocol != messages.PROTOCOL:
        raise errors.PeerProtocolError(
            f'protocol {message.protocol}, expected {messages.PROTOCOL}'
        )
    return message.name


class _Link:
    """One outgoing link, connected again when it breaks."""

    def __init__(self, member, own, on_up, on_lost):
        self.member = member
        self.is_up = False
        self._own = own
        self._on_up = on_up
        self._on_lost = on_lost
        self._scope = trio.CancelScope()
        self._is_retired = False
        self._send, self._receive = trio.open_memory_channel(math.inf)

    def send(self, data):
        """Queue a frame."""
        self._send.send_nowait(data)

    def close(self):
        """End the link."""
        self.is_up = False
        self._scope.cancel()

    def retire(self):
        """Do not connect again, and end the link after a while."""
        self._is_retired = True
        self._scope.deadline = trio.current_time() + RETIRED_LINK_S

    async def run(self):
        """Connect, write queued frames, and connect again."""
        with self._scope:
            while not self._is_retired:
                await self._connect_and_write()
                await trio.sleep(RECONNECT_PAUSE_S)

    async def _connect_and_write(self):
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    self.member.host, self.member.peer_port
                )
        except (OSError, trio.TooSlowError):
            return
        async with stream:
            hello = messages.Hello(
                messages.PROTOCOL, self._own.name, self._own.incarnation
            )
            self._send.send_nowait(frames.pack(codec.encode(hello)))
            self.is_up = True
            self._on_up(self.member.name)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_wait_for_end, stream, nursery)
                    await self._write(stream)
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                self._drop_queue()
                self._on_lost(self.member.name)

    async def _write(self, stream):
        while True:
            batch = [await self._receive.receive()]
            while len(batch) < MAX_BATCH_FRAMES:
                try:
                    batch.append(self._receive.receive_nowait())
                except trio.WouldBlock:
                    break
            await stream.send_all(b''.join(batch))

    def _drop_queue(self):
        """Forget frames that can no longer be delivered in order."""
        self.is_up = False
        while True:
            try:
                self._receive.receive_nowait()
            except trio.WouldBlock:
                return


async def _wait_for_end(stream, nursery):
    """Cancel the writer once the peer closes the link."""
    await stream.receive_some(1)
    nursery.cancel_scope.cancel()
