"""The messages between instances."""

import dataclasses

from savorycross.membership import member
from savorycross.plan import inventory

PROTOCOL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first message on every link, sent by the side that opened it.

    :param protocol: version of the protocol between instances.
    """

    protocol: int
    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The shards of a query, or a booking, that one owner is to serve.

    :param replica_sets: one for each shard, in the same order.
    :param version: index version; 0 for a booking.
    :param epoch: number of the shard map; 0 for a booking.
    :param deadline_ms: milliseconds left for the part when it was sent.
    :param flush_ms: milliseconds after which the results so far are sent; 0
        to send them only when all are complete.
    :param repeatable: False for a booking, whose one shard is any that
        its target holds.
    """

    part_id: int
    request_id: str
    replica_sets: tuple[str, ...]
    shards: tuple[str, ...]
    version: int
    epoch: int
    priority: int
    deadline_ms: float
    flush_ms: float
    payload: bytes
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """The result of one shard.

    :param shard: shard key.
    :param cause: why the result is missing; empty if the shard answered.
    :param ran: for a booking: 1 if it ran, 0 if it did not, -1 if unknown.
    """

    shard: str
    cause: str
    body: bytes
    ran: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PartAnswer:
    """Some or all results of a part.

    :param final: False if further results of the part follow.
    :param wait_ms: longest time, in milliseconds, that a shard waited for a
        target.
    """

    part_id: int
    results: tuple[ShardResult, ...]
    final: bool
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelPart:
    """A request to cancel a part whose results are no longer needed."""

    part_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Inventories:
    """Inventories of targets, as their owner observed them."""

    items: tuple[inventory.TargetInventory, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A booking that is forwarded to the instance that issued its ticket.

    :param deadline_ms: milliseconds left for the booking when the message
        was sent.
    """

    call_id: int
    request_id: str
    ticket: str
    workload: str
    key: str
    deadline_ms: float
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of a forwarded booking.

    :param code: empty if the booking ran, else an error code.
    """

    call_id: int
    code: str
    message: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """A request for a newer version of the ``catalogue`` or the ``view``.

    :param what: ``catalogue`` or ``view``.
    :param have: version that the sender has.
    """

    what: str
    have: int


@dataclasses.dataclass(frozen=True, slots=True)
class Push:
    """A version of the ``catalogue`` or the ``view``.

    :param what: ``catalogue`` or ``view``.
    :param data: the encoded catalogue or view.
    """

    what: str
    version: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """A statement that the sender stopped all sends that a view revokes.

    :param epoch: epoch of the view.
    :param name: name of the sender.
    """

    epoch: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Joining:
    """A request to a member of the view to add the sender.

    :param member: the sender.
    """

    member: member.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Rumour:
    """The state of an instance as another one believes it to be.

    :param status: ``alive``, ``suspect`` or ``dead``.
    """

    name: str
    incarnation: int
    status: str


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """A heartbeat message of the failure detector, sent over UDP.

    :param kind: ``ping``, ``ack`` or ``ping-req``.
    :param sender: name of the sending instance.
    :param sequence: number of the probe that the message belongs to.
    :param subject: the instance that a ``ping-req`` asks to probe, or that
        an ``ack`` is sent on behalf of.
    :param view_epoch: epoch of the sender's view.
    :param config_version: version of the sender's configuration.
    :param stamp: hybrid clock stamp of the time of sending.
    :param load: number of requests in progress on the sender.
    :param leaving: whether the sender is leaving.
    :param confirmed_age_ms: milliseconds since the store last had nothing
        newer than the sender's configuration, or None if it cannot tell.
    """

    kind: str
    sender: str
    incarnation: int
    sequence: int
    subject: str = ''
    view_epoch: int = 0
    config_version: int = 0
    stamp: int = 0
    load: float = 0.0
    leaving: bool = False
    rumours: tuple[Rumour, ...] = ()
    confirmed_age_ms: int | None = None
