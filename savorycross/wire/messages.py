"""Data classes and encodings of HTTP/1.1 requests and replies."""

import dataclasses

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

REASON_PHRASES = {
    100: b'Continue',
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class _HeaderLookup:
    """A mixin that looks up headers by name."""

    __slots__ = ()

    def header(self, name):
        """Return the first value of a header, or None.

        :param name: lower-case name, as bytes.

        >>> Reply(200, ((b'Retry-After', b'1'),)).header(b'retry-after')
        b'1'
        """
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Request(_HeaderLookup):
    """A complete request.

    :param target: path and query as the caller sent them.
    :param headers: pairs of name and value in the order of the request;
        names keep their case.
    :param keep_alive: whether the caller wants to reuse the connection.
    :param received_at: runtime clock time, in seconds, at which the request
        was complete.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b''
    keep_alive: bool = True
    received_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(_HeaderLookup):
    """A complete reply.

    :param status: HTTP status code.
    :param headers: pairs of name and value, as bytes.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyChunk:
    """A part of a reply that is sent before the rest is available.

    :param is_last: whether the reply ends with this chunk.
    """

    body: bytes
    is_last: bool


def encode_request(method, target, headers, body=b''):
    """Return a request as bytes.

    A ``Content-Length`` header is added unless the body is empty and the
    method is GET, HEAD or DELETE.

    :param headers: pairs of name and value, as bytes.
    """
    lines = [method + b' ' + target + b' HTTP/1.1']
    lines += [name + b': ' + value for name, value in headers]
    if body or method not in (b'GET', b'HEAD', b'DELETE'):
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def encode_reply(reply, keep_alive, with_body=True):
    """Return a reply as bytes.

    Hop-by-hop headers of the reply are replaced by those of this connection.

    :param reply: the Reply.
    :param keep_alive: whether the connection stays open after the reply.
    :param with_body: False for the reply to a HEAD request.

    >>> encode_reply(Reply(200, body=b'ab'), keep_alive=True)
    b'HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nab'
    """
    reason = REASON_PHRASES.get(reply.status, b'Unknown')
    lines = [b'HTTP/1.1 %d %s' % (reply.status, reason)]
    lines += [
        name + b': ' + value
        for name, value in reply.headers
        if name.lower() not in HOP_BY_HOP
    ]
    if reply.status != 204 and reply.status != 304:
        lines.append(b'Content-Length: %d' % len(reply.body))
    if not keep_alive:
        lines.append(b'Connection: close')
    head = b'\r\n'.join(lines) + b'\r\n\r\n'
    return head + reply.body if with_body else head


def encode_chunk(chunk, is_first, keep_alive):
    """Return a part of a reply in chunked transfer encoding, as bytes.

    :param chunk: the ReplyChunk.
    :param is_first: whether the status line and headers precede the chunk.
    :param keep_alive: whether the connection stays open after the reply.

    >>> encode_chunk(ReplyChunk(b'ab', True), is_first=False, keep_alive=True)
    b'2\\r\\nab\\r\\n0\\r\\n\\r\\n'
    """
    parts = []
    if is_first:
        parts.append(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n')
        if not keep_alive:
            parts.append(b'Connection: close\r\n')
        parts.append(b'\r\n')
    if chunk.body:
        parts.append(b'%x\r\n%b\r\n' % (len(chunk.body), chunk.body))
    if chunk.is_last:
        parts.append(b'0\r\n\r\n')
    return b''.join(parts)
