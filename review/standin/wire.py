"""HTTP/1.1 messages over asyncio streams."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or a reply.

    :param start: the first line, split at its spaces.
    :param headers: values by lower-case name.
    """

    start: tuple[str, ...]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self):
        """Return the status of a reply."""
        return int(self.start[1])


async def read(reader):
    """Return the next Message, or None at the end of the stream.

    :raises asyncio.IncompleteReadError: if the stream ends within it.
    """
    head = await _read_head(reader)
    if head is None:
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Message(tuple(lines[0].split(' ', 2)), headers, body)


async def _read_head(reader):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    return head[:-4]


def encode(start, headers, body=b''):
    """Return a message as bytes.

    :param start: the first line.
    :param headers: values by name.
    """
    lines = [start, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def serve(handle, host, port=0):
    """Listen and call ``handle(reader, writer)`` for each connection.

    :returns: the server, and its port.
    """

    async def run(reader, writer):
        try:
            await handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port)
    return server, server.sockets[0].getsockname()[1]


async def call(host, port, data, timeout_s):
    """Send a request on a new connection; return the reply, or None."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(data)
                return await read(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
