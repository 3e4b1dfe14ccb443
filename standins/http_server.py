"""A small HTTP/1.1 server for the stand-ins."""

import dataclasses
import urllib.parse

import httptools
import trio

RECEIVE_SIZE_BYTES = 65536


@dataclasses.dataclass
class Request:
    """An HTTP request.

    :param query: parameters of the query string.
    :param headers: values by lower-case name, as bytes.
    """

    method: str = ''
    path: str = ''
    query: dict = dataclasses.field(default_factory=dict)
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass
class Response:
    """An HTTP response.

    :param cut: number of bytes of the body after which the connection is
        closed; None sends the whole body, -1 closes the connection without
        a response.
    """

    code: int
    body: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)
    cut: int | None = None


class _Parser:
    """Parses the requests of one connection."""

    def __init__(self):
        self.complete = []
        self._parser = httptools.HttpRequestParser(self)
        self._request = Request()
        self._url = b''

    def feed(self, data):
        """Parse received bytes and return the requests that are complete."""
        self._parser.feed_data(data)
        complete, self.complete = self.complete, []
        return complete

    def on_url(self, url):
        self._url += url

    def on_header(self, name, value):
        self._request.headers[name.lower()] = value

    def on_body(self, body):
        self._request.body += body

    def on_message_complete(self):
        url = urllib.parse.urlsplit(self._url.decode('latin-1'))
        self._request.method = self._parser.get_method().decode()
        self._request.path = urllib.parse.unquote(url.path)
        self._request.query = dict(urllib.parse.parse_qsl(url.query))
        self.complete.append(self._request)
        self._request = Request()
        self._url = b''


def render(response):
    """Return a response as bytes."""
    lines = [b'HTTP/1.1 %d X' % response.code]
    lines += [b'%s: %s' % item for item in response.headers.items()]
    lines.append(b'content-length: %d' % len(response.body))
    body = response.body
    if response.cut is not None:
        body = body[: response.cut]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


async def serve_stream(stream, handle):
    """Serve the requests of a connection, one after the other.

    :param handle: async callable of a Request; returns a Response.
    """
    parser = _Parser()
    async with stream:
        try:
            while True:
                data = await stream.receive_some(RECEIVE_SIZE_BYTES)
                if not data:
                    return
                for request in parser.feed(data):
                    response = await handle(request)
                    if response.cut == -1:
                        return
                    await stream.send_all(render(response))
                    if response.cut is not None:
                        return
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            httptools.HttpParserError,
        ):
            return
