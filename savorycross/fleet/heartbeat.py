"""What an instance tells the others."""

import msgspec
import xxhash

from savorycross.wire import versioned

# Version of the format; others are dropped.
FORMAT = 2


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

    @property
    def id(self):
        """A number that names this incarnation in datagrams."""
        return xxhash.xxh32_intdigest(f'{self.name}/{self.started_at}')


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What the sender believes of one instance.

    :param id: the ``Peer.id``.
    :param age_ms: time since anyone heard the instance itself.
    :param flags: READY and LEAVING.
    """

    id: int
    age_ms: int
    flags: int


READY = 1
LEAVING = 2


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    :param sender: the sender's ``Peer.id``.
    :param flags: READY and LEAVING of the sender.
    :param revision: the store's revision that the sender has seen.
    :param has_store: whether the store answers the sender.
    :param rows: what the sender believes of others.
    :param asked: ids whose Peer the sender does not know.
    :param peers: answers to ids that the receiver asked for.
    """

    format: int
    sender: int
    flags: int
    revision: int
    has_store: bool
    rows: tuple[Row, ...] = ()
    asked: tuple[int, ...] = ()
    peers: tuple[Peer, ...] = ()


_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode(heartbeat):
    """Return a heartbeat as bytes."""
    return msgspec.msgpack.encode(heartbeat)


def decode(data):
    """Return the Heartbeat in bytes.

    :raises ValueError: if the bytes are none.
    """
    return versioned.decode(_decoder, data, FORMAT)


def encode_peer(peer):
    """Return a Peer as bytes."""
    return msgspec.msgpack.encode(peer)


def decode_peer(data):
    """Return the Peer in bytes.

    :raises ValueError: if the bytes are none.
    """
    return msgspec.msgpack.decode(data, type=Peer)
