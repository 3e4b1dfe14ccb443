"""Writes log records as JSON without waiting for the output."""

import os

import msgspec

_encoder = msgspec.json.Encoder()


class Sink:
    """A loguru sink on a file descriptor.

    :param stream: file object; a full pipe drops lines.
    """

    def __init__(self, stream):
        self._fd = stream.fileno()
        self.dropped = 0
        try:
            os.set_blocking(self._fd, False)
        except OSError:
            # A file or terminal that cannot be switched never fills up.
            pass

    def write(self, message):
        """Write the record of a message."""
        record = message.record
        fields = {
            'time': record['time'].timestamp(),
            'event': record['message'],
            **record['extra'],
        }
        if self.dropped:
            fields['lines_lost'] = self.dropped
        line = _encoder.encode(fields) + b'\n'
        try:
            os.write(self._fd, line)
            self.dropped = 0
        except (BlockingIOError, BrokenPipeError):
            self.dropped += 1
