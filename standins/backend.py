"""A stand-in for a target that registers itself in the metadata store."""

import collections
import dataclasses
import json
import random
import socket

import trio

from savorycross.wire import messages
from savorycross.wire import server
from standins import stated_rate

RECORD_COUNT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a backend has run.

    :param backend: id of the backend.
    :param at: clock time in seconds.
    """

    request_id: str
    path: str
    backend: str
    service: str
    at: float


def sign(backend, request_id):
    """Return the signature of a backend's answer to a request."""
    return f'{backend}.{request_id}'.encode()


def make_records(service, request_id):
    """Return the records that a service's backends answer with."""
    rng = random.Random(f'{service}/{request_id}')
    return b''.join(rng.randbytes(16) for _ in range(RECORD_COUNT))


class Backend:
    """Registers itself, runs requests and records each run.

    :param id_: id of this process of the target.
    :param model: KvModel in which the backend registers itself.
    :param nursery: nursery of the requests.
    :param runs: list to which each Run is appended, shared by all backends.
    :param rng: random.Random for work times.

    ``stated_rate`` is the StatedRate of all requests to it, ``is_leaving``
    whether its answers say that it leaves. With ``pause_s`` it refuses all
    requests for so many seconds each, and ``refused_at`` holds the times.
    """

    def __init__(self, id_, service, zone, model, nursery, runs, rng):
        self.id = id_
        self.service = service
        self.zone = zone
        self.slots = 4
        self.version = 'v1'
        self.work_s = 0.01
        self.fail_share = 0.0
        self.lose_share = 0.0
        self.is_leaving = False
        self.pause_s = 0.0
        self.refused_at = []
        self.stated_rate = stated_rate.StatedRate()
        self.announced_address = None
        self.address = None
        self._model = model
        self._nursery = nursery
        self._runs = runs
        self._rng = rng
        self._busy = 0
        self._queue = collections.deque()
        self._scope = trio.CancelScope()

    @property
    def key(self):
        """Key of the backend's entry in the store."""
        return f'servers/{self.id}'

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until stopped."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                http_server = server.Server(self.handle, nursery)
                self.address = _free_address()
                nursery.start_soon(http_server.run, self.address)
                await trio.sleep(0.01)
                task_status.started()
                await trio.sleep_forever()

    def announce(self, state='ready'):
        """Write the backend's entry to the store."""
        host, port = self.announced_address or self.address
        entry = {
            'service': self.service,
            'addr': f'{host}:{port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'warmup_ms': 0,
            'seq': 1,
            'born': 1,
        }
        self._model.put(self.key, json.dumps(entry).encode())

    def stop(self):
        """End at once, as in a crash."""
        self._scope.cancel()

    def handle(self, request, respond):
        """Handle a request; see ``wire.server.Handler``."""
        running = _RunningRequest()
        self._nursery.start_soon(self._answer, request, respond, running)
        return running

    async def _answer(self, request, respond, running):
        id_ = (request.header(b'request-id') or b'').decode()
        expected_instance = request.header(b'expect-instance')
        self.stated_rate.count(trio.current_time())
        headers = ((b'Request-Id', id_.encode()),)
        rate_per_s = self.stated_rate.rate_per_s
        if rate_per_s is not None:
            headers = (*headers, (b'Server-Limit', b'%.3f' % rate_per_s))
        if self.is_leaving:
            headers = (*headers, (b'Server-Leaving', b'1'))
        if (
            expected_instance is not None
            and expected_instance != self.id.encode()
        ):
            respond(messages.Reply(421, headers))
            return
        if self.pause_s:
            self.refused_at.append(trio.current_time())
            pause = (b'Retry-After', b'%.3f' % self.pause_s)
            respond(messages.Reply(503, (*headers, (b'Not-Run', b'1'), pause)))
            return
        if self._busy >= self.slots + 8:
            respond(messages.Reply(503, (*headers, (b'Not-Run', b'1'))))
            return
        with running.scope:
            self._busy += 1
            try:
                await self._run_request(request, id_)
                respond(self._reply(id_, headers))
            finally:
                self._busy -= 1

    async def _run_request(self, request, id_):
        self._runs.append(
            Run(
                id_,
                request.target.decode(),
                self.id,
                self.service,
                trio.current_time(),
            )
        )
        await trio.sleep(self.work_s * self._rng.uniform(0.5, 1.5))
        if self._rng.random() < self.lose_share:
            await trio.sleep_forever()

    def _reply(self, id_, id_headers):
        headers = (*id_headers, (b'Server-Stamp', sign(self.id, id_)))
        if self._rng.random() < self.fail_share:
            return messages.Reply(500, headers, b'failed')
        body = make_records(self.service, id_)
        return messages.Reply(200, headers, body)


class _RunningRequest:
    """A request in progress, which is cancelled when its connection closes."""

    def __init__(self):
        self.scope = trio.CancelScope()

    def cancel(self):
        """Stop the request."""
        self.scope.cancel()


def _free_address():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()
