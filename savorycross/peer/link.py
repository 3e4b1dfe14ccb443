"""TCP streams between instances: one outgoing link to each peer."""

import math

import trio

from savorycross import errors
from savorycross.peer import codec
from savorycross.peer import frames
from savorycross.peer import messages

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
RECONNECT_PAUSE_S = 0.2
# Longest time that a link to a former member is kept. A member that leaves
# stops within this time; a frozen one would otherwise keep its link open.
RETIRED_LINK_S = 10.0
RECEIVE_BYTES = 256 * 1024
MAX_BATCH_FRAMES = 256


class PeerLinks:
    """Sends messages to peers and passes on those received.

    Every link carries messages one way, from the instance that opened it;
    replies come on a link that the peer opened. A message to this instance
    itself is passed on without encoding.

    :param own: this instance's Member.
    :param clock: HybridClock that stamps sent messages and merges the stamps
        of received ones.
    :param nursery: nursery for the tasks of the links.
    :param on_message: called with the sender's name and a message.
    :param on_up: called with a peer's name when the link to it is up.
    :param on_lost: called with a peer's name when the link to it ends.
    :param metrics: a registry.Registry.
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
        """Make the links match these members and their incarnations.

        A link to a former member stays open until the member closes it or
        ``RETIRED_LINK_S`` have passed, because replies to messages that it
        was sent are still outstanding.
        """
        members_by_name = {
            m.name: m for m in members if m.name != self._own.name
        }
        for name in list(self._links):
            if self._links[name].member != members_by_name.get(name):
                self._retire(name, self._links.pop(name))
        for name in self._retired.keys() & members_by_name.keys():
            self._retired.pop(name).close()
        for name, member in members_by_name.items():
            if name not in self._links:
                link = _Link(member, self._own, self._on_up, self._on_lost)
                self._links[name] = link
                self._nursery.start_soon(link.run)

    def _retire(self, name, link):
        if not link.is_up:
            link.close()
            return
        link.retire()
        self._retired[name] = link

    def _find_open_link(self, name):
        """Return the current or retired link to a peer if up, else None."""
        link = self._links.get(name) or self._retired.get(name)
        return link if link is not None and link.is_up else None

    def is_linked(self, name, incarnation):
        """Return whether a link to one incarnation of a peer is up."""
        link = self._find_open_link(name)
        return link is not None and link.member.incarnation == incarnation

    def send(self, name, message):
        """Queue a message to a peer.

        :returns: False if no link to the peer is up, else True.
        """
        if name == self._own.name:
            self._on_message(name, message)
            return True
        link = self._find_open_link(name)
        if link is None:
            return False
        data = codec.encode(message, self._clock.tick())
        self._metrics.count('peer_bytes_sent', len(data))
        self._metrics.count('peer_frames_sent')
        link.send(frames.pack(data))
        return True

    async def accept(self, stream):
        """Receive messages on a link that a peer opened until it ends."""
        async with stream:
            try:
                await self._receive_messages(stream)
            except errors.PeerProtocolError:
                self._metrics.count('peer_protocol_errors')
            except (trio.BrokenResourceError, trio.TooSlowError):
                pass

    async def _receive_messages(self, stream):
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
                    name = _check_hello(message)
                    continue
                self._on_message(name, message)


def _check_hello(message):
    """Return the sender's name from the first message of a link.

    :raises PeerProtocolError: if the message is not a Hello, or is one of
        another protocol version.
    """
    if not isinstance(message, messages.Hello):
        raise errors.PeerProtocolError('first frame is not a hello')
    if message.protocol != messages.PROTOCOL:
        raise errors.PeerProtocolError(
            f'protocol {message.protocol}, expected {messages.PROTOCOL}'
        )
    return message.name


class _Link:
    """One outgoing link, which reconnects when it breaks.

    :param member: the Member to connect to.
    """

    def __init__(self, member, own, on_up, on_lost):
        self.member = member
        self.is_up = False
        self._own = own
        self._on_up = on_up
        self._on_lost = on_lost
        self._scope = trio.CancelScope()
        self._is_retired = False
        self._send_channel, self._receive_channel = trio.open_memory_channel(
            math.inf
        )

    def send(self, data):
        """Queue a frame, as bytes."""
        self._send_channel.send_nowait(data)

    def close(self):
        """Close the link at once."""
        self.is_up = False
        self._scope.cancel()

    def retire(self):
        """Stop reconnecting, and close the link after ``RETIRED_LINK_S``."""
        self._is_retired = True
        self._scope.deadline = trio.current_time() + RETIRED_LINK_S

    async def run(self):
        """Connect, write queued frames, and reconnect until closed."""
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
            self._send_channel.send_nowait(frames.pack(codec.encode(hello)))
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
            batch = [await self._receive_channel.receive()]
            while len(batch) < MAX_BATCH_FRAMES:
                try:
                    batch.append(self._receive_channel.receive_nowait())
                except trio.WouldBlock:
                    break
            await stream.send_all(b''.join(batch))

    def _drop_queue(self):
        """Discard frames that can no longer be delivered in order."""
        self.is_up = False
        while True:
            try:
                self._receive_channel.receive_nowait()
            except trio.WouldBlock:
                return


async def _wait_for_end(stream, nursery):
    """Cancel the writer's nursery once the peer closes the link."""
    await stream.receive_some(1)
    nursery.cancel_scope.cancel()
