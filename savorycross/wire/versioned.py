"""Decoding of messages that carry the version of their format."""

from savorycross import decoding


def decode(decoder, data, expected_format):
    """Return the message in bytes.

    :param decoder: msgspec Decoder of a type with a field ``format``.
    :param data: the encoded message.
    :param expected_format: the only format version that is accepted.
    :raises ValueError: if the bytes are not a valid message, or have
        another format version.
    """
    message = decoding.decode(decoder, data)
    if message.format != expected_format:
        raise ValueError(f'unsupported format version {message.format}')
    return message
