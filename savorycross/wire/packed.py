"""Messages between instances that carry the number of their format."""


def decode(decoder, data, number):
    """Return the message in bytes.

    :param decoder: msgspec Decoder of a type with a field ``format``.
    :param number: the only format that is known.
    :raises ValueError: if the bytes are none, or of another format.
    """
    found = decoder.decode(data)
    if found.format != number:
        raise ValueError(f'format {found.format}')
    return found
