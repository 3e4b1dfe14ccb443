"""The bodies of requests and answers, and the checks of requests."""

import msgspec

from savorycross.catalogue import workload as workloads
from savorycross import decoding
from savorycross import errors
from savorycross.merge import coverage as coverages
from savorycross.merge import merger

MAX_BODY_BYTES = 64 * 1024
MAX_DEADLINE_MS = 600_000
MAX_RECORDS = 10_000
MAX_KEY_CHARS = 200


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /v1/query``.

    :param payload: JSON value that is passed to every shard unchanged.
    :param deadline_ms: milliseconds until the answer is due; the workload's
        default if None.
    :param min_coverage: least acceptable ratio of answered shards, from 0 to
        1; the workload's default if None.
    :param limit: largest number of records in the answer.
    """

    workload: str
    payload: msgspec.Raw = msgspec.Raw(b'null')
    deadline_ms: int | None = None
    min_coverage: float | None = None
    limit: int = MAX_RECORDS


class BookingRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /v1/bookings``: a ticket, a key, or both.

    :param payload: JSON value that is passed to the target unchanged.
    :param deadline_ms: milliseconds until the answer is due; the workload's
        default if None.
    :param ticket: ticket from ``POST /v1/tickets``.
    :param key: idempotency key that the caller chose for the booking.
    """

    workload: str
    payload: msgspec.Raw = msgspec.Raw(b'null')
    deadline_ms: int | None = None
    ticket: str = ''
    key: str = ''


class SnapshotBody(msgspec.Struct, frozen=True):
    """The snapshot from which an answer was read.

    :param version: version of the index.
    :param epoch: number of the shard map.
    """

    index: str
    version: int
    epoch: int


class QueryAnswer(msgspec.Struct, frozen=True):
    """The body of an answer to a query."""

    request_id: str
    snapshot: SnapshotBody
    coverage: coverages.Coverage
    records: list[merger.Record]


class BookingAnswer(msgspec.Struct, frozen=True):
    """The body of an answer to a booking that ran."""

    request_id: str
    ticket: str
    status: str
    result: msgspec.Raw


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error response.

    :param code: error code for programs; see ``savorycross.errors``.
    :param outcome: whether the request has run.
    """

    code: str
    message: str
    outcome: str
    request_id: str = ''
    details: tuple[str, ...] = ()
    coverage: coverages.Coverage | None = None


_query_decoder = msgspec.json.Decoder(QueryRequest)
_booking_decoder = msgspec.json.Decoder(BookingRequest)


def decode_query(body):
    """Return the QueryRequest in a body.

    :param body: JSON text as bytes.
    :raises BadRequestError: if the body is invalid; names the field and the
        allowed values.
    :raises BodyTooLargeError: if the body exceeds ``MAX_BODY_BYTES``.
    """
    query = _decode(_query_decoder, body)
    _check_deadline(query.deadline_ms)
    min_coverage = query.min_coverage
    if min_coverage is not None and not 0.0 <= min_coverage <= 1.0:
        raise errors.BadRequestError(
            f'min_coverage {min_coverage} is not a number from 0 to 1'
        )
    if not 0 <= query.limit <= MAX_RECORDS:
        raise errors.BadRequestError(
            f'limit {query.limit} is not a number from 0 to {MAX_RECORDS}'
        )
    return query


def decode_booking(body):
    """Return the BookingRequest in a body.

    :param body: JSON text as bytes.
    :raises BadRequestError: if the body is invalid; names the field and the
        allowed values.
    :raises BodyTooLargeError: if the body exceeds ``MAX_BODY_BYTES``.
    """
    booking = _decode(_booking_decoder, body)
    _check_deadline(booking.deadline_ms)
    if not booking.ticket and not booking.key:
        raise errors.BadRequestError('a booking needs a ticket or a key')
    if len(booking.key) > MAX_KEY_CHARS:
        raise errors.BadRequestError(
            f'key has {len(booking.key)} characters, at most {MAX_KEY_CHARS}'
        )
    return booking


def find_workload(catalogue, name, kind):
    """Return the workload of a name and a kind.

    :param catalogue: Catalogue.
    :param name: name of the workload.
    :param kind: workload Kind.
    :raises UnknownWorkloadError: if there is none.
    """
    workload = catalogue.workload_by_name.get(name)
    if workload is None or workload.kind is not kind:
        names = [w.name for w in catalogue.workloads if w.kind is kind]
        raise errors.UnknownWorkloadError(
            f'no {workloads.Kind(kind).value} workload {name!r}; '
            f'there are: {", ".join(names)}'
        )
    return workload


def _decode(decoder, body):
    if len(body) > MAX_BODY_BYTES:
        raise errors.BodyTooLargeError(f'body has {len(body)} bytes')

    try:
        return decoding.decode(decoder, body)
    except ValueError as exc:
        raise errors.BadRequestError(f'invalid body: {exc}') from exc


def _check_deadline(deadline_ms):
    if deadline_ms is None or 1 <= deadline_ms <= MAX_DEADLINE_MS:
        return
    raise errors.BadRequestError(
        f'deadline_ms {deadline_ms} is not a number '
        f'from 1 to {MAX_DEADLINE_MS}'
    )
