"""What an instance tells the others."""

import msgspec

# Version of the format; others are dropped.
FORMAT = 1


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """An instance as others know it.

    :param started_at: milliseconds since the epoch; tells incarnations
        apart.
    :param address: host and port for other instances.
    :param caller_address: host and port for callers.
    """

    name: str
    started_at: int
    data_centre: str
    address: tuple[str, int]
    caller_address: tuple[str, int]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    :param is_ready: whether the sender takes callers.
    :param revision: the store's revision that the sender has seen.
    :param has_store: whether the store answers the sender.
    :param heard: names of instances that the sender hears itself.
    :param known: some instances that the sender knows.
    """

    format: int
    sender: Peer
    is_ready: bool
    is_leaving: bool
    revision: int
    has_store: bool
    heard: tuple[str, ...]
    known: tuple[Peer, ...]


_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode(heartbeat):
    """Return a heartbeat as bytes."""
    return msgspec.msgpack.encode(heartbeat)


def decode(data):
    """Return the Heartbeat in bytes.

    :raises ValueError: if the bytes are none.
    """
    found = _decoder.decode(data)
    if found.format != FORMAT:
        raise ValueError(f'format {found.format}')
    return found


def encode_peer(peer):
    """Return a Peer as bytes."""
    return msgspec.msgpack.encode(peer)


def decode_peer(data):
    """Return the Peer in bytes.

    :raises ValueError: if the bytes are none.
    """
    return msgspec.msgpack.decode(data, type=Peer)
