"""Decoding of messages from other processes."""


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
