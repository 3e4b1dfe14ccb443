"""A common bound on the bytes that an instance holds for others."""

# Bytes that all holders together may have, unless an instance sets others.
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
# Bytes beside those on the wire that a request and each header take.
REQUEST_BYTES = 1024
HEADER_BYTES = 160


class Buffers:
    """Counts the bytes that are held for callers, targets and peers.

    The holders add to and subtract from the counts. ``requests`` are those
    of requests from the first byte until their reply is written, ``sends``
    those of encoded requests until their exchange ends, ``replies`` those of
    bodies until they are passed on, and ``unsent`` those that a peer hasn't
    taken yet. Memory is short above ``short_bytes``.

    :param limit_bytes: bytes of all holders together.
    :param spare_bytes: part of them that only the reply that has been
        received for longest may use.
    """

    __slots__ = (
        '_receiving',
        '_spare_bytes',
        'limit_bytes',
        'replies',
        'requests',
        'sends',
        'short_bytes',
        'unsent',
    )

    def __init__(self, limit_bytes=DEFAULT_LIMIT_BYTES, spare_bytes=0):
        self.requests = 0
        self.sends = 0
        self.replies = 0
        self.unsent = 0
        self._spare_bytes = spare_bytes
        self._receiving = {}
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes):
        """Set the largest number of bytes of all holders together."""
        self.limit_bytes = limit_bytes
        self.short_bytes = limit_bytes - min(
            self._spare_bytes, limit_bytes // 2
        )

    @property
    def count(self):
        """Bytes of all holders."""
        return self.requests + self.sends + self.replies + self.unsent

    @property
    def is_exceeded(self):
        """Whether the holders together have more than the limit."""
        return self.count > self.limit_bytes

    @property
    def is_short(self):
        """Whether only the spare bytes are left, or less."""
        return self.count > self.short_bytes

    def by_holder(self):
        """Return the bytes by the name of their holder."""
        return {
            'requests': self.requests,
            'sends': self.sends,
            'replies': self.replies,
            'unsent': self.unsent,
        }

    def start_receiving(self, receiver):
        """Note that an object holds a part of a reply, if it is new."""
        self._receiving.setdefault(receiver)

    def end_receiving(self, receiver):
        """Note that an object holds no part of a reply."""
        self._receiving.pop(receiver, None)

    def must_wait(self, receiver):
        """Return whether an object has to wait while memory is short.

        One reply after the other is completed, which
        frees what their requests hold; none as long as bytes that peers
        don't take are the reason, as peers take them or are closed.
        """
        if self.unsent > self.limit_bytes // 2:
            return True
        return next(iter(self._receiving), receiver) is not receiver
