"""A stand-in for a backend, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time

import http_wire


class Backend:
    """Registers itself in the store and runs requests.

    Calls of ``on_arrival``, if it is set, come with each request that is for
    this backend before anything else; if it returns a reply as a tuple of
    status, headers and body, this is sent and nothing runs.

    :param id_: id of the process.
    :param store: Store.
    :param record: callable that takes words to record.
    """

    def __init__(self, id_, service, zone, store, record, slots=6):
        self.id = id_
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = 0.02
        self.beat_s = 1.2
        self.extra_headers = []
        self.cold_until = 0.0
        self.on_arrival = None
        self.arrivals = []
        self.state = 'ready'
        self.address = None
        self._store = store
        self._record = record
        self._server = None
        self._busy = 0
        self._queue = asyncio.Semaphore(slots)
        self._writers = set()
        self._beating = None
        self._seq = 0
        self._born = 0
        self._said = None

    @property
    def key(self):
        """Key of its entry in the store."""
        return f'servers/{self.id}'

    @property
    def cold_ms(self):
        """Milliseconds for which it stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def start(self, host, port=0):
        """Begin an incarnation: listen, then write the entry."""
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._beating = asyncio.ensure_future(self._beat())

    def stop(self):
        """End at once, as in a crash."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def leave(self):
        """Remove the entry and write none again, but go on to serve."""
        self._beating.cancel()
        self._store.remove(self.key)

    def announce(self):
        """Write the entry, unless the store does not take it now."""
        if self._store.mode != 'ok':
            return
        self._seq += 1
        # The entry changes when more than its number does.
        said = self.state, bool(self.cold_ms), self._born
        if said == self._said and self.key in self._store.items:
            return
        self._said = said
        host, port = self.address
        entry = {
            'service': self.service,
            'addr': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_ms': self.cold_ms,
            'seq': self._seq,
            'born': self._born,
        }
        self._store.put(self.key, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            self.announce()
            await asyncio.sleep(self.beat_s)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await http_wire.read_message(reader)
                if request is None:
                    return
                work = asyncio.ensure_future(self._answer(request))
                gone = asyncio.ensure_future(_wait_for_end(reader))
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not work.done():
                    work.cancel()
                    return
                status, headers, body = work.result()
                writer.write(
                    http_wire.encode(f'HTTP/1.1 {status} X', headers, body)
                )
                await writer.drain()
        except (http_wire.WireError, ConnectionError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        id_ = request.header('request-id', '')
        headers = [('Request-Id', id_)] if id_ else []
        headers += self.extra_headers
        if request.start[1] == '/healthz':
            headers += [('Instance', self.id), ('Cold-Ms', self.cold_ms)]
            return (200 if self.state == 'ready' else 503), headers, b''
        if request.header('expect-instance', self.id) != self.id:
            return 421, [*headers, ('Instance', self.id)], b''
        self.arrivals.append((time.monotonic(), id_))
        self._record('arrival', id_, self.id)
        if self.on_arrival is not None:
            reply = self.on_arrival(request, headers)
            if reply is not None:
                return reply
        if self._busy >= self.slots * 7:
            return 503, [*headers, ('Not-Run', '1')], b''
        self._busy += 1
        try:
            async with self._queue:
                self._record('run', id_, self.id)
                await asyncio.sleep(self.work_s * random.uniform(0.6, 1.4))
        finally:
            self._busy -= 1
        self._record('ran', id_, self.id)
        stamp = f'{self.id}.{id_}'
        return 200, [*headers, ('Server-Stamp', stamp)], stamp.encode()


async def _wait_for_end(reader):
    """Return when the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
