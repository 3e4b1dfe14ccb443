"""A stand-in for a target on the users' platform."""

import collections
import dataclasses
import json
import random
import socket

import trio

from savorycross.wire import messages
from savorycross.wire import server

RECORDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a backend ran."""

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
    return b''.join(rng.randbytes(16) for _ in range(RECORDS))


class Backend:
    """Registers itself, runs requests, and notes each run.

    :param id_: id of the incarnation.
    :param runs: list that gets each Run, shared by all backends.
    :param rng: random.Random for work times.
    """

    def __init__(self, id_, service, zone, model, nursery, runs, rng):
        self.id = id_
        self.service = service
        self.zone = zone
        self.slots = 4
        self.work_s = 0.01
        self.fail_share = 0.0
        self.lose_share = 0.0
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
        """Key of the entry in the store."""
        return f'servers/{self.id}'

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until stopped."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                found = server.Server(self.handle, nursery)
                self.address = _free_address()
                nursery.start_soon(found.run, self.address)
                await trio.sleep(0.01)
                task_status.started()
                await trio.sleep_forever()

    def announce(self, state='ready'):
        """Write the entry."""
        host, port = self.announced_address or self.address
        entry = {
            'service': self.service,
            'addr': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_ms': 0,
            'seq': 1,
            'born': 1,
        }
        self._model.put(self.key, json.dumps(entry).encode())

    def stop(self):
        """End at once, as a crash does."""
        self._scope.cancel()

    def handle(self, request, respond):
        """Handle a request; see ``wire.server.Handler``."""
        running = _Running()
        self._nursery.start_soon(self._answer, request, respond, running)
        return running

    async def _answer(self, request, respond, running):
        id_ = (request.header(b'request-id') or b'').decode()
        expected = request.header(b'expect-instance')
        own = ((b'Request-Id', id_.encode()),)
        if expected is not None and expected != self.id.encode():
            respond(messages.Reply(421, own))
            return
        if self._busy >= self.slots + 8:
            respond(messages.Reply(503, (*own, (b'Not-Run', b'1'))))
            return
        with running.scope:
            self._busy += 1
            try:
                await self._work(request, id_)
                respond(self._reply(id_, own))
            finally:
                self._busy -= 1

    async def _work(self, request, id_):
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

    def _reply(self, id_, own):
        headers = (*own, (b'Server-Stamp', sign(self.id, id_)))
        if self._rng.random() < self.fail_share:
            return messages.Reply(500, headers, b'failed')
        body = make_records(self.service, id_)
        return messages.Reply(200, headers, body)


class _Running:
    """A request in progress; it ends when its connection closes."""

    def __init__(self):
        self.scope = trio.CancelScope()

    def cancel(self):
        """Stop the work."""
        self.scope.cancel()


def _free_address():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()
