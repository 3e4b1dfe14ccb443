"""A backend that registers itself in the store and runs requests."""

import asyncio
import time

from standin import wire

# How often a run looks whether its connection was closed, which ends it.
CLOSE_CHECK_S = 0.02


class Backend:
    """Runs ``slots`` requests at once and queues some more.

    ``runs`` holds the id and the time of each run, of all backends that
    share it. Requests that are refused do not run.

    :param record: callable that writes a line to the record.
    :param choose_work_s: callable that returns the seconds of a run.
    """

    def __init__(
        self, id_, service, store, record, runs, slots, queue, choose_work_s
    ):
        self.id = id_
        self.service = service
        self.runs = runs
        self.address = ''
        self.arrivals = []
        self._store = store
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queue = queue
        self._choose_work_s = choose_work_s
        self._busy = 0
        self._seq = 0
        self._born = int(time.time() * 1000)

    async def start(self, host):
        """Serve, and write the entry to the store."""
        self._server, port = await wire.serve(self._serve, host)
        self.address = f'{host}:{port}'
        self.announce()

    def announce(self, **changes):
        """Write the entry to the store.

        :param changes: fields that differ from those of a ready backend.
        """
        self._seq += 1
        entry = {
            'service': self.service,
            'addr': self.address,
            'zone': 'bilbo',
            'version': 'v1',
            'slots': self._slot_count,
            'state': 'ready',
            'warmup_ms': 0,
            'seq': self._seq,
            'born': self._born,
            **changes,
        }
        self._store.put_json(f'servers/{self.id}', entry)

    async def _serve(self, reader, writer):
        last_reply = b''
        while (request := await wire.read(reader)) is not None:
            self.before_request(writer, last_reply)
            last_reply = await self._answer(request, reader)
            if not last_reply:
                return
            writer.write(last_reply)
            await writer.drain()

    def before_request(self, writer, last_reply):
        """Do what a faulty backend does when it has read a request.

        :param last_reply: bytes of its previous reply on the connection.
        """

    async def _answer(self, request, reader):
        headers = request.headers
        id_ = headers.get('request-id', '')
        if request.start[1] == '/healthz':
            return wire.encode('HTTP/1.1 200 .', {'Instance': self.id})
        if headers.get('expect-instance', self.id) != self.id:
            return self._refuse(421, id_)
        self.arrivals.append((time.monotonic(), id_))
        self._record(f"{self.id} got {id_}")
        if self._busy >= self._slot_count + self._queue:
            self._record(f'{self.id} refused {id_}')
            return self._refuse(503, id_)
        self._busy += 1
        try:
            async with self._slots:
                if reader.at_eof():
                    return b''
                return await self._run(id_, reader)
        finally:
            self._busy -= 1

    async def _run(self, id_, reader):
        """Run a request; return the reply as bytes.

        :returns: nothing if the connection was closed meanwhile.
        """
        self.runs.append((id_, self.id, time.monotonic()))
        self._record(f'{self.id} runs {id_}')
        end_at = time.monotonic() + self._choose_work_s()
        while (left_s := end_at - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, CLOSE_CHECK_S))
            if reader.at_eof():
                return b''
        stamp = f'{self.id}.{len(self.runs)}'
        return wire.encode(
            'HTTP/1.1 200 .',
            {'Request-Id': id_, 'Server-Stamp': stamp},
            f'{self.id} {id_}'.encode(),
        )

    def _refuse(self, status, id_):
        headers = {'Request-Id': id_, 'Not-Run': '1'}
        return wire.encode(f'HTTP/1.1 {status} .', headers)
