"""Length-prefixed frames on a byte stream.

A frame is a length in four bytes, most significant byte first, and that many
bytes of data.
"""

import struct

from savorycross import errors

_LENGTH = struct.Struct('>I')
MAX_FRAME_BYTES = 16 * 1024 * 1024


def pack(data):
    """Return data as a frame.

    >>> pack(b'ab')
    b'\\x00\\x00\\x00\\x02ab'
    """
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits a byte stream into the data of its frames.

    >>> reader = FrameReader()
    >>> reader.feed(pack(b'ab') + b'\\x00')
    [b'ab']
    """

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Append bytes of the stream and return the data of complete frames.

        :raises PeerProtocolError: if a frame is longer than
            ``MAX_FRAME_BYTES``.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (size_bytes,) = _LENGTH.unpack_from(self._buffer, start)
            if size_bytes > MAX_FRAME_BYTES:
                raise errors.PeerProtocolError(
                    f'frame of {size_bytes} bytes is too long'
                )
            end = start + _LENGTH.size + size_bytes
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames
