"""What an instance and its delegate tell each other."""

import enum

import msgspec

from savorycross.wire import versioned

# Version of the format; other versions are refused.
FORMAT = 1


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Sends of one call to targets in one data centre.

    :param path: path and query of the call.
    :param headers: headers that are sent on unchanged.
    :param remaining_ms: time that is left for an answer.
    :param flush_ms: time after which the results so far are returned.
    :param usual_ms: usual latency of one target.
    :param record_limit: records that an answer of all parts keeps.
    :param targets: ids of the targets to send to.
    """

    format: int
    id: bytes
    method: bytes
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining_ms: int
    flush_ms: int
    usual_ms: float
    record_limit: int
    targets: tuple[str, ...]


class Outcome(enum.IntEnum):
    """What became of a send: a ``forward.call.Verdict`` by name, or LOST."""

    OK = 0
    FAILED = 1
    NOT_RUN = 2
    MISDIRECTED = 3
    INVALID = 4
    LOST = 5


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result of one send.

    :param number: place of the target in the Batch.
    :param took_ms: time from the send to its result.
    :param stamp: signature of the target, if it answered.
    :param records: its records, less those that the merge of all results
        in the same message drops.
    """

    number: int
    outcome: Outcome
    took_ms: float
    stamp: bytes = b''
    records: bytes = b''


class Results(msgspec.Struct, frozen=True, array_like=True):
    """The results so far.

    :param elapsed_ms: time since the delegate got the Batch.
    """

    elapsed_ms: float
    results: tuple[Result, ...]


_batch_decoder = msgspec.msgpack.Decoder(Batch)
_results_decoder = msgspec.msgpack.Decoder(Results)


def encode(message):
    """Return a Batch or Results as bytes."""
    return msgspec.msgpack.encode(message)


def decode_batch(data):
    """Return the Batch in bytes.

    :raises ValueError: if the bytes are none.
    """
    return versioned.decode(_batch_decoder, data, FORMAT)


def decode_results(data):
    """Return the Results in bytes.

    :raises ValueError: if the bytes are none.
    """
    return _results_decoder.decode(data)
