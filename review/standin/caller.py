"""A caller that keeps to the rules of the platform's pages."""

import asyncio
import itertools
import time

from standin import deployment
from standin import wire

_numbers = itertools.count(1)


class Caller:
    """Sends one request at a time and keeps its connection.

    ``answers`` maps the id of each request to its status, or to None if the
    connection ended without a complete answer.

    :param ip: address of the instance.
    :param record: callable that writes a line to the record.
    """

    def __init__(self, ip, record, answers):
        self.answers = answers
        self._ip = ip
        self._record = record
        self._reader = self._writer = None

    async def send(self, path, deadline_ms, method='GET', headers=None):
        """Send a request; return the reply, or None if there is none."""
        id_ = f'{next(_numbers):016x}'
        body = b'{"slot": 1}' if method == 'POST' else b''
        data = wire.encode(
            f'{method} {path} HTTP/1.1',
            {
                'Host': deployment.HOST,
                'Request-Id': id_,
                'Deadline-Ms': deadline_ms,
                **(headers or {}),
            },
            body,
        )
        self._record(f'caller sends {id_} {method} {path}')
        started_at = time.monotonic()
        reply, reason = None, ''
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._ip, 8226
                    )
                self._writer.write(data)
                reply = await wire.read(self._reader)
        except TimeoutError:
            reason = 'deadline'
        except (OSError, asyncio.IncompleteReadError) as exc:
            reason = type(exc).__name__
        must_close = reply is None or (
            reply.headers.get('connection', '').lower() == 'close'
        )
        if must_close:
            self.close()
        self.answers[id_] = reply.status if reply else None
        self._record(
            f'caller got {id_} {reply.status if reply else "nothing"} '
            f'{reason} after {time.monotonic() - started_at:.3f} s'
        )
        return reply

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
