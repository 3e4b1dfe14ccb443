"""Bounds on the bytes of replies, however long a peer goes on to send."""

import httptools

# Bytes of status lines and headers, those of informational replies and
# trailers included.
MAX_HEAD_BYTES = 65536
# Bytes of one body that is buffered.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Largest number of bytes on the wire for each byte of a body; a body in
# chunks of a single byte takes 6.
MAX_WIRE_FACTOR = 8


class ReplySize:
    """Counts the bytes of the replies to one request and bounds them.

    The methods that count raise ``httptools.HttpParserError`` once a bound
    is exceeded, as for a reply that breaks the protocol.

    :param buffers: Buffers of all connections.
    """

    def __init__(self, buffers):
        self._buffers = buffers
        self._wire_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._held_bytes = 0

    def add_received(self, n):
        """Count bytes as they are received, whatever they mean."""
        self._wire_bytes += n

    def check_received(self):
        """Check the received bytes against those that were of use.

        Chunk extensions and informational replies without headers take
        bytes and are of no use.
        """
        useful_bytes = self._body_bytes * MAX_WIRE_FACTOR + self._head_bytes
        if self._wire_bytes > useful_bytes + MAX_HEAD_BYTES:
            raise httptools.HttpParserError('reply has too little content')

    def add_header(self, n):
        """Count the bytes of a header or trailer."""
        self._head_bytes += n
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httptools.HttpParserError('reply has too long headers')

    def add_body(self, n):
        """Count bytes of the body that are buffered."""
        self._body_bytes += n
        self._held_bytes += n
        self._buffers.replies += n
        self._buffers.start_receiving(self)
        if self._held_bytes > MAX_BODY_BYTES:
            raise httptools.HttpParserError('reply is too long')

    @property
    def must_wait(self):
        """Whether the reply has to wait while memory is short."""
        return self._buffers.must_wait(self)

    def release_body(self):
        """Stop counting the buffered bytes, as they were passed on."""
        if self._held_bytes:
            self._buffers.replies -= self._held_bytes
            self._buffers.end_receiving(self)
            self._held_bytes = 0

    def reset(self):
        """Prepare for the replies to the next request."""
        self.release_body()
        self._wire_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
