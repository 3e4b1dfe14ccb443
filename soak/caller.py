"""A caller that keeps connections and checks the answers to its calls."""

import dataclasses
import json

import trio

from savorycross import errors
from savorycross import host_port
from savorycross.wire import client
from soak import workspaces
from standins import backend as backends

DEADLINE_MS = 1500
RESOLVE_TIMEOUT_S = 1.0
# Calls on one connection before a new one is opened.
CALLS_PER_CONNECTION = 25
HOST = 'h.example'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a call.

    :param kind: name of the route.
    :param status: HTTP status; 0 if the connection ended without an answer.
    :param sent_at: clock time in seconds, as is ``ended_at``.
    :param instance: IP address of the instance.
    :param key: key of the call.
    :param reason: why there is no answer.
    :param is_unlisted: whether the caller knew that the instance leaves.
    """

    id: str
    kind: str
    status: int
    sent_at: float
    ended_at: float
    instance: str
    key: str
    reason: str = ''
    is_unlisted: bool = False


class Caller:
    """Calls instances, one call at a time.

    :param testbed: Testbed.
    :param name: part of the ids of its calls.
    :param rng: random.Random for arrivals, instances and routes.
    :param workspace: name of its workspace.
    """

    def __init__(self, testbed, name, rng, nursery, workspace):
        self._testbed = testbed
        self._name = name
        self._rng = rng
        self._nursery = nursery
        self._workspace = workspace
        self._addresses = []
        self._addresses_expire_at = 0.0
        self._client = None
        self._address = None
        self._call_count = 0
        # Some use their connections for as long as they last.
        self._keeps_connections = rng.random() < 0.25

    async def run(self):
        """Make calls until cancelled."""
        while True:
            is_limited = self._workspace == workspaces.LIMITED
            await trio.sleep(self._rng.expovariate(40 if is_limited else 12))
            await self._resolve()
            if self._addresses:
                await self._call()

    async def _resolve(self):
        now = trio.current_time()
        if now < self._addresses_expire_at:
            return
        instance = self._rng.choice(self._testbed.instances)
        directory = client.Client(instance.address('directory'), self._nursery)
        try:
            reply = await directory.call(
                b'GET',
                f'/v1/resolve?name={HOST}&zone={instance.zone}'.encode(),
                timeout_s=RESOLVE_TIMEOUT_S,
            )
        except errors.ConnectionLostError:
            return
        finally:
            directory.close()
        if reply.status != 200:
            return
        answer = json.loads(reply.body)
        self._addresses = [host_port.split(a) for a in answer['addrs']]
        factor = 3 if self._rng.random() < 0.2 else 1
        self._addresses_expire_at = now + factor * answer['ttl_s']
        if not (self._keeps_connections or self._is_listed):
            self._disconnect()

    @property
    def _is_listed(self):
        return self._address in self._addresses

    async def _call(self):
        is_used_up = (
            self._call_count % CALLS_PER_CONNECTION == 0
            and not self._keeps_connections
        )
        if self._client is None or is_used_up:
            self._disconnect()
            self._address = self._rng.choice(self._addresses)
            self._client = client.Client(self._address, self._nursery)
        self._call_count += 1
        id_ = f'{self._name}-{self._call_count}'
        kind = self._rng.choice(['all', 'all', 'one', 'once'])
        key = self._testbed.workspaces.choose_key(self._workspace, self._rng)
        headers = (
            (b'Request-Id', id_.encode()),
            (b'Deadline-Ms', b'%d' % DEADLINE_MS),
            (b'Api-Key', key.encode()),
        )
        method = b'POST' if kind == 'once' else b'GET'
        is_unlisted = not self._is_listed
        sent_at = trio.current_time()
        status, reason = 0, ''
        try:
            reply = await self._client.call(
                method,
                f'/{kind}/x'.encode(),
                b'body' if kind == 'once' else b'',
                DEADLINE_MS / 1000 + 0.7,
                ((b'Host', HOST.encode()), *headers),
            )
            status = reply.status
            self._check(id_, kind, reply)
        except errors.ConnectionLostError as exc:
            reason = exc.message
            failed, self._address = self._address, None
            self._addresses = [a for a in self._addresses if a != failed]
            self._disconnect()
        self._testbed.checks.add_outcome(
            Outcome(
                id_,
                kind,
                status,
                sent_at,
                trio.current_time(),
                self._address[0] if self._address else '',
                key,
                reason,
                is_unlisted,
            )
        )
        if status not in (200, 401, 429):
            for i in range(self._testbed.repeats):
                self._nursery.start_soon(self._repeat, f'{id_}-{i}')

    async def _repeat(self, id_):
        """Make a call on a connection of its own, whatever becomes of it."""
        address = self._rng.choice(self._testbed.instances).address('front')
        new_client = client.Client(address, self._nursery)
        headers = (
            (b'Host', HOST.encode()),
            (b'Request-Id', id_.encode()),
            (b'Deadline-Ms', b'%d' % DEADLINE_MS),
            (
                b'Api-Key',
                self._testbed.workspaces.keys[workspaces.STEADY].encode(),
            ),
        )
        try:
            await new_client.call(
                b'GET', b'/one/x', b'', DEADLINE_MS / 1000, headers
            )
        except errors.ConnectionLostError:
            pass
        finally:
            new_client.close()

    def _check(self, id_, kind, reply):
        if not 200 <= reply.status < 300:
            return
        checks = self._testbed.checks
        if kind == 'all':
            checks.check_merged_answer(id_, reply)
            return
        stamp = reply.header(b'server-stamp') or b''
        backend = stamp.decode().partition('.')[0]
        service = backend.partition('+')[0]
        if stamp != backends.sign(backend, id_):
            checks.add_violation('mixed', f'{id_}: signature {stamp}')
        elif reply.body != backends.make_records(service, id_):
            checks.add_violation('mixed', f'{id_}: body of another request')

    def _disconnect(self):
        if self._client is not None:
            self._client.close()
            self._client = None
