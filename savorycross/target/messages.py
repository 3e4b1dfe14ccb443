"""The JSON bodies and headers of HTTP messages to and from targets."""

import msgspec

from savorycross import decoding
from savorycross.plan import inventory
from savorycross.rate import statement
from savorycross.relay import job

ATTEMPT_HEADER = b'x-attempt'
BOOT_HEADER = b'x-boot'
PHASE_HEADER = b'x-phase'
# Requests a second that the target takes from all instances together.
RATE_HEADER = b'x-rate-limit'

_STATUS_BY_CODE = {
    200: job.Status.OK,
    409: job.Status.VERSION_GONE,
    429: job.Status.REFUSED,
    499: job.Status.CANCELLED,
    503: job.Status.REFUSED,
}


class HoldingBody(msgspec.Struct, frozen=True):
    """One snapshot that a target holds, with its shards.

    :param version: index version.
    :param epoch: number of the shard map.
    :param total: number of shards of the service under the shard map.
    :param shards: shard numbers, each below ``total``.
    """

    version: int
    epoch: int
    total: int
    shards: tuple[int, ...]


class InventoryBody(msgspec.Struct, frozen=True):
    """The body of a reply to ``GET /v1/inventory``.

    :param boot: identity of the target's process; changes on a restart.
    """

    boot: str
    warm: bool = False
    draining: bool = False
    holdings: tuple[HoldingBody, ...] = ()


_inventory_decoder = msgspec.json.Decoder(InventoryBody)


def decode_inventory(target, headers, data, stamp):
    """Return the TargetInventory in a reply.

    :param target: name of the target.
    :param headers: headers by lower-case name, as bytes.
    :param data: the body as bytes.
    :param stamp: hybrid clock stamp of the observation.
    :raises ValueError: if the body is not a valid inventory.
    """
    body = decoding.decode(_inventory_decoder, data)
    holdings = tuple(
        inventory.Holding(
            inventory.Snapshot(h.version, h.epoch), h.total, h.shards
        )
        for h in body.holdings
    )
    return inventory.TargetInventory(
        target,
        body.boot,
        body.warm,
        body.draining,
        holdings,
        stamp,
        statement.parse_rate(headers.get(RATE_HEADER)),
    )


def encode_job(job_to_send, attempt, remaining_s):
    """Return the path and body of the request that sends a job.

    :param attempt: id of the attempt, unique across all instances.
    :param remaining_s: seconds until the attempt ends.
    """
    body = {
        'request_id': job_to_send.request_id,
        'attempt': attempt,
        'service': job_to_send.service,
        'shard': job_to_send.number,
        'deadline_ms': max(1, int(remaining_s * 1000)),
        'payload': msgspec.Raw(job_to_send.payload or b'null'),
    }
    if job_to_send.repeatable:
        body['version'] = job_to_send.version
        body['epoch'] = job_to_send.epoch
        return b'/v1/search', msgspec.json.encode(body)
    return b'/v1/bookings', msgspec.json.encode(body)


def encode_request(method, path, headers, body=b''):
    """Return an HTTP/1.1 request as bytes.

    :param headers: pairs of name and value, as bytes.
    """
    lines = [b'%s %s HTTP/1.1' % (method, path), b'host: target']
    lines += [b'%s: %s' % pair for pair in headers]
    lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def decode_result(code, headers, body):
    """Return the AttemptResult that an HTTP reply stands for.

    :param code: HTTP status code.
    :param headers: headers by lower-case name, as bytes.
    """
    phase = headers.get(PHASE_HEADER)
    return job.AttemptResult(
        status=_STATUS_BY_CODE.get(code, job.Status.LOST),
        body=body,
        boot=headers.get(BOOT_HEADER, b'').decode('latin-1'),
        warm=None if phase is None else phase == b'warm',
        rate_per_s=statement.parse_rate(headers.get(RATE_HEADER)),
    )
