"""A TCP proxy on loopback that injects network faults."""

import enum
import functools

import trio

RECEIVE_SIZE_BYTES = 65536


class Mode(enum.Enum):
    """What the proxy does to connections."""

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
        """Change the mode, also of open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for stream in list(self._streams):
                stream.socket.close()

    async def _forward(self, stream):
        if self.mode is Mode.RESET:
            await trio.aclose_forcefully(stream)
            return
        try:
            target_stream = await trio.open_tcp_stream(*self.target)
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        self._streams.add(stream)
        try:
            async with stream, target_stream, trio.open_nursery() as nursery:
                pump = functools.partial(self._pump, nursery)
                nursery.start_soon(
                    pump, stream, target_stream, Mode.CUT_REQUESTS
                )
                nursery.start_soon(
                    pump, target_stream, stream, Mode.CUT_REPLIES
                )
        finally:
            self._streams.discard(stream)

    async def _pump(self, nursery, source, sink, discard_mode):
        try:
            while data := await source.receive_some(RECEIVE_SIZE_BYTES):
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay_s)
                if self.mode not in (discard_mode, Mode.SILENT):
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        nursery.cancel_scope.cancel()
