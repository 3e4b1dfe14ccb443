"""Heartbeat messages between instances."""

import ipaddress
import typing

import msgspec
import xxhash

from savorycross import decoding
from savorycross.wire import versioned

_Load = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
_Capacity = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]

# Version of the message format; messages of other versions are dropped.
FORMAT = 2


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """Identifies an instance and its addresses.

    :param started_at: start of the instance in milliseconds since the
        epoch; tells its incarnations apart.
    :param address: host and port for other instances.
    :param caller_address: host and port for callers.
    """

    name: str
    started_at: int
    data_centre: str
    address: tuple[str, _Port]
    caller_address: tuple[str, _Port]

    def __post_init__(self):
        """Check the addresses; msgspec calls it for decoded peers too."""
        for host, _ in (self.address, self.caller_address):
            ipaddress.IPv4Address(host)

    @property
    def id(self):
        """Return a 32-bit hash that identifies this incarnation."""
        return xxhash.xxh32_intdigest(f'{self.name}/{self.started_at}')


class StatusRow(msgspec.Struct, frozen=True, array_like=True):
    """Holds what the sender of a heartbeat knows of another instance.

    :param id: ``Peer.id`` of the instance.
    :param age_ms: milliseconds since any instance received a heartbeat from
        it, as far as the sender knows.
    :param flags: READY and LEAVING.
    :param load: percentage of a core that the instance uses.
    :param capacity: processor that it can use, in thousandths of a core; 0
        if it is not known.
    """

    id: int
    age_ms: typing.Annotated[int, msgspec.Meta(ge=0)]
    flags: int
    load: _Load = 0
    capacity: _Capacity = 0


READY = 1
LEAVING = 2


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Is the content of one datagram.

    :param format: FORMAT.
    :param sender: ``Peer.id`` of the sender.
    :param flags: READY and LEAVING of the sender.
    :param revision: number of the store's revision that the sender has seen.
    :param has_store: whether the store answers the sender.
    :param rows: status of other instances.
    :param asked: ids whose Peer the sender asks the receiver for.
    :param peers: Peers that the receiver asked for.
    :param load: percentage of a core that the sender uses.
    :param era: era of ``revision``; 0 if the sender does not know eras.
    :param configuration: version of the configuration that the sender has in
        force; 0 if it has none or does not tell.
    :param capacity: see StatusRow; of the sender.
    """

    format: int
    sender: int
    flags: int
    revision: int
    has_store: bool
    rows: tuple[StatusRow, ...] = ()
    asked: tuple[int, ...] = ()
    peers: tuple[Peer, ...] = ()
    load: _Load = 0
    era: int = 0
    configuration: int = 0
    capacity: _Capacity = 0


_decoder = msgspec.msgpack.Decoder(Heartbeat)
_peer_decoder = msgspec.msgpack.Decoder(Peer)


def encode(heartbeat):
    """Return the bytes of a Heartbeat."""
    return msgspec.msgpack.encode(heartbeat)


def decode(data):
    """Return the Heartbeat that bytes encode.

    :raises ValueError: if the bytes encode none, or one of another format.
    """
    return versioned.decode(_decoder, data, FORMAT)


def encode_peer(peer):
    """Return the bytes of a Peer."""
    return msgspec.msgpack.encode(peer)


def decode_peer(data):
    """Return the Peer that bytes encode.

    :raises ValueError: if the bytes encode none.
    """
    return decoding.decode(_peer_decoder, data)
