"""A log sink that writes JSON lines without blocking."""

import os

import msgspec

_encoder = msgspec.json.Encoder()


class Sink:
    """A loguru sink that writes JSON lines to a file descriptor.

    Lines that a full or broken pipe does not accept are dropped and counted;
    the next line that is written tells how many in its field ``lines_lost``.

    :param stream: file object whose descriptor is made non-blocking.
    """

    def __init__(self, stream):
        self._fd = stream.fileno()
        self.dropped = 0
        try:
            os.set_blocking(self._fd, False)
        except OSError:
            # A file or terminal that cannot be made non-blocking does not
            # fill up like a pipe.
            pass

    def write(self, message):
        """Write the record of a loguru message as a line of JSON."""
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
        except OSError:
            self.dropped += 1
