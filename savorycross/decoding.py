"""Decoding of messages from other processes."""

import re
import typing

import msgspec

# Longer numbers fit neither into 64 bits nor into a time.
_DIGITS = re.compile(rb'\d{1,18}')

# An int that can be passed on in messages between instances.
Integer = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


def decode(decoder, data):
    """Return the message that bytes encode.

    Values that are nested too deep are invalid like others, even where the
    decoder skips them.

    :param decoder: msgspec Decoder.
    :param data: the encoded message.
    :raises ValueError: if the bytes encode no such message.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise ValueError('nested too deep') from exc


def decode_digits(text):
    """Return the number that a header states, or None if it states none.

    :param text: value of the header as bytes, or None without one.

    >>> decode_digits(b'250'), decode_digits(b'9' * 400), decode_digits(None)
    (250, None, None)
    """
    if text is None or not _DIGITS.fullmatch(text):
        return None
    return int(text)
