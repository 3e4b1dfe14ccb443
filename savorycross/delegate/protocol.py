"""Messages between an instance and its delegate."""

import enum
import typing

import msgspec

from savorycross import decoding
from savorycross.wire import versioned

# Version of the message format; other versions are refused.
FORMAT = 1
# Upper bound on all durations, one hour.
MAX_MS = 3_600_000


class BatchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for sends of one call to targets in one data centre.

    :param format: FORMAT.
    :param id: request id of the call.
    :param path: path and query of the call.
    :param headers: headers that are forwarded unchanged.
    :param remaining_ms: milliseconds until the call's deadline.
    :param flush_ms: milliseconds after which the results so far are
        returned.
    :param usual_ms: usual latency of one target in milliseconds.
    :param record_limit: largest number of records in the call's answer.
    :param targets: ids of the targets to send to.
    :param paid: indexes of the targets whose sends the sender has counted
        toward its parts of the rates that they state.
    """

    format: int
    id: bytes
    method: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_MS)]
    flush_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]
    usual_ms: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_MS)]
    record_limit: typing.Annotated[int, msgspec.Meta(ge=0)]
    targets: tuple[str, ...]
    paid: frozenset[int] = frozenset()


class Outcome(enum.IntEnum):
    """Tells how a send ended.

    The members but LOST have the names of ``forward.call.Verdict``; LOST
    means that no reply arrived.
    """

    OK = 0
    FAILED = 1
    NOT_RUN = 2
    MISDIRECTED = 3
    INVALID = 4
    LOST = 5


class Result(msgspec.Struct, frozen=True, array_like=True):
    """Holds the result of one send.

    :param number: index of the target in ``BatchRequest.targets``.
    :param took_ms: milliseconds from the send to its result.
    :param stamp: signature of the target, if it answered.
    :param records: its records, without those that a merge of all results
        in the same message drops.
    :param rate_per_s: requests a second that the target takes, as it last
        said, or None if it states no limit.
    :param is_leaving: whether the target has said that it is about to end.
    :param pause_ms: milliseconds for which the target wants nothing from the
        delegate, as it has said.
    """

    number: int
    outcome: Outcome
    took_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
    stamp: bytes = b''
    records: bytes = b''
    rate_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] | None = None
    is_leaving: bool = False
    pause_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)] = 0


class Results(msgspec.Struct, frozen=True, array_like=True):
    """Holds the results that one message of the delegate carries.

    :param elapsed_ms: milliseconds since the delegate received the
        BatchRequest.
    """

    elapsed_ms: float
    results: tuple[Result, ...]


_batch_decoder = msgspec.msgpack.Decoder(BatchRequest)
_results_decoder = msgspec.msgpack.Decoder(Results)


def encode(message):
    """Return the bytes of a BatchRequest or Results."""
    return msgspec.msgpack.encode(message)


def decode_batch(data):
    """Return the BatchRequest that bytes encode.

    :raises ValueError: if the bytes encode none, or one of another format.
    """
    return versioned.decode(_batch_decoder, data, FORMAT)


def decode_results(data):
    """Return the Results that bytes encode.

    :raises ValueError: if the bytes encode none.
    """
    return decoding.decode(_results_decoder, data)
