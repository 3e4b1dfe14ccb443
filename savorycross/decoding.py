"""Decoding of messages from other processes."""

import typing

import msgspec

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
