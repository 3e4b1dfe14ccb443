"""A TCP proxy on loopback that harms what it forwards."""

import enum
import functools

import trio

CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """What happens to connections."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    CUT_REQUESTS = 'cut_requests'
    CUT_REPLIES = 'cut_replies'
    SILENT = 'silent'


class Proxy:
    """Forwards connections to a target address.

    :param target: host and port.
    """

    def __init__(self, target):
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.3
        self.address = None
        self._streams = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen and forward until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.address = listeners[0].socket.getsockname()[:2]
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    def set_mode(self, mode):
        """Change what happens, also to open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for stream in list(self._streams):
                stream.socket.close()

    async def _forward(self, stream):
        if self.mode is Mode.RESET:
            await trio.aclose_forcefully(stream)
            return
        try:
            other = await trio.open_tcp_stream(*self.target)
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        self._streams.add(stream)
        try:
            async with stream, other, trio.open_nursery() as nursery:
                pump = functools.partial(self._pump, nursery)
                nursery.start_soon(pump, stream, other, Mode.CUT_REQUESTS)
                nursery.start_soon(pump, other, stream, Mode.CUT_REPLIES)
        finally:
            self._streams.discard(stream)

    async def _pump(self, nursery, source, sink, cut):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay_s)
                if self.mode not in (cut, Mode.SILENT):
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        nursery.cancel_scope.cancel()
