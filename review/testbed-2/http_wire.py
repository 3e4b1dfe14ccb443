"""Plain HTTP/1.1 over asyncio streams, for the stand-ins of this review."""

import asyncio
import dataclasses


class WireError(Exception):
    """A connection ended before a message was complete."""


@dataclasses.dataclass
class Message:
    """A request or a reply.

    :param start: the first line, split at spaces.
    :param headers: pairs of lower-case name and value, as text.
    """

    start: list
    headers: list
    body: bytes = b''

    def header(self, name, default=None):
        """Return the first value of a header."""
        for other, value in self.headers:
            if other == name:
                return value
        return default


async def read_message(reader, is_reply=False):
    """Return the next Message, or None if the stream ends before it."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise WireError('cut in a head') from exc
        return None
    except (ConnectionError, OSError) as exc:
        raise WireError(f'{type(exc).__name__} before a head') from exc
    lines = head[:-4].decode('latin-1').split('\r\n')
    message = Message(lines[0].split(' ', 2), [])
    for line in lines[1:]:
        name, _, value = line.partition(':')
        message.headers.append((name.strip().lower(), value.strip()))
    try:
        message.body = await _read_body(reader, message, is_reply)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise WireError('cut in a body') from exc
    return message


async def _read_body(reader, message, is_reply):
    if 'chunked' in message.header('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    length = message.header('content-length')
    if length is not None:
        return await reader.readexactly(int(length))
    if is_reply and message.start[1] not in ('204', '304'):
        return await reader.read()
    return b''


def encode(start, headers, body=b'', with_length=True):
    """Return a message as bytes.

    :param start: the first line, as text.
    :param headers: pairs of name and value, as text.
    """
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    if with_length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
