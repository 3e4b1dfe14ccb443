"""Heartbeat messages between instances."""

import ipaddress
import typing

import msgspec
import xxhash

from savorycross import decoding
from savorycross.wire import versioned

_Load = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
_Capacity = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Age = typing.Annotated[int, msgspec.Meta(ge=0)]
_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]

# Version of the message format; messages of other versions are dropped.
FORMAT = 2
# Time that a heartbeat may take until it is read. Without it, an instance
# that has ended seems to be heard later with each heartbeat that names it,
# which contradicts suspicions.
HOP_S = 0.05


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
    :param store_state: STORE_UNKNOWN, STORE_LOST or STORE_REACHED.
    :param sequence: number of the newest heartbeat that any instance
        received from it, as far as the sender knows; 0 if it has none.
    """

    id: int
    age_ms: _Age
    flags: int
    load: _Load = 0
    capacity: _Capacity = 0
    store_state: int = 0
    sequence: int = 0


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Tells that an instance left probes unanswered.

    :param id: ``Peer.id`` of the instance.
    :param age_ms: milliseconds since the first of these probes was sent.
    :param sequence: number of its newest heartbeat that the sender knows of.
    """

    id: int
    age_ms: _Age
    sequence: int = 0


class NewestRevision(msgspec.Struct, frozen=True, array_like=True):
    """Names an instance that has a newer revision of the store.

    :param era: era of the revision.
    :param revision: its number.
    :param holder: ``Peer.id`` of the instance.
    """

    era: int
    revision: int
    holder: int


READY = 1
LEAVING = 2

STORE_UNKNOWN = 0
STORE_LOST = 1
STORE_REACHED = 2

# What the sender expects. Versions without probes send 0, and send to all
# instances of their data centre in each interval.
SENDS_TO_ALL = 0
NO_ANSWER = 1
ANSWER = 2
# An answer with a row for each instance, which a new instance asks for.
FULL_ANSWER = 3


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
    :param expects: SENDS_TO_ALL, NO_ANSWER, ANSWER or FULL_ANSWER.
    :param suspicions: instances that may have ended.
    :param older_age_ms: milliseconds since any instance heard a version that
        sends SENDS_TO_ALL, or None if that is long ago.
    :param newest: NewestRevision that the sender knows of, or None if it has
        that revision itself.
    :param sequence: number that the sender raises in each step; 0 in
        versions without it.
    :param age_ms: milliseconds for which changes after ``revision`` may be
        missing at the sender, or None if it does not know or tell.
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
    expects: int = SENDS_TO_ALL
    suspicions: tuple[Suspicion, ...] = ()
    newest: NewestRevision | None = None
    older_age_ms: _Age | None = None
    sequence: int = 0
    age_ms: _Age | None = None


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
