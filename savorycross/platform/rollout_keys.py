"""Keys and values of roll-outs in the platform's store."""

import typing

import msgspec

from savorycross import decoding
from savorycross.rollout import order as orders

_ORDER_PREFIX = 'op/rollout/'
_STATUS_PREFIX = 'status/rollout/'
# Written by instances for each other, next to the status.
_RECORD_PREFIX = 'savorycross/rollouts/'
# Marks of the ends of runs, by service and number of the run.
_END_PREFIX = 'savorycross/rollout-ends/'
# Longer ones are taken as this long, which keeps all sums finite.
MAX_OVER_S = 30 * 86400.0


class _Order(msgspec.Struct, frozen=True):
    to_version: str
    over_s: typing.Annotated[float, msgspec.Meta(gt=0)]
    service: str = ''


class _Status(msgspec.Struct, frozen=True):
    to_version: str
    state: orders.State


class _Record(msgspec.Struct, frozen=True):
    order: _Order
    state: orders.State
    is_moving: bool
    started_at: float
    run: int
    is_withdrawn: bool = False
    rejected: tuple[str, ...] = ()


_order_decoder = msgspec.json.Decoder(_Order)
_status_decoder = msgspec.json.Decoder(_Status)
_record_decoder = msgspec.json.Decoder(_Record)


def is_rollout(key):
    """Return whether a key holds anything about a roll-out."""
    return key.startswith(
        (_ORDER_PREFIX, _STATUS_PREFIX, _RECORD_PREFIX, _END_PREFIX)
    )


def ordered_service(key):
    """Return the service that an order's key names, or None."""
    return _remove_prefix(key, _ORDER_PREFIX)


def recorded_service(key):
    """Return the service that a record's key names, or None."""
    return _remove_prefix(key, _RECORD_PREFIX)


def order_key(service):
    """Return the key of the order for a service."""
    return _ORDER_PREFIX + service


def status_key(service):
    """Return the key of the status for a service."""
    return _STATUS_PREFIX + service


def record_key(service):
    """Return the key of the record for a service."""
    return _RECORD_PREFIX + service


def end_key(service, run):
    """Return the key that marks the end of a run of a service."""
    return f'{_END_PREFIX}{service}/{run}'


def decode_order(key, value):
    """Return the RolloutOrder that a key holds.

    :raises ValueError: if the value is invalid.
    """
    order = decoding.decode(_order_decoder, value)
    service = key.removeprefix(_ORDER_PREFIX)
    if order.service not in ('', service):
        raise ValueError(f'service {order.service!r}')
    return _to_order(order, service)


def decode_status(value):
    """Return the RolloutStatus that bytes encode.

    :raises ValueError: if they are invalid.
    """
    status = decoding.decode(_status_decoder, value)
    return orders.RolloutStatus(status.to_version, status.state)


def encode_status(status):
    """Return the bytes of a RolloutStatus."""
    return msgspec.json.encode(_Status(status.to_version, status.state))


def decode_record(key, value):
    """Return the RolloutRecord that a key holds.

    :raises ValueError: if the value is invalid.
    """
    record = decoding.decode(_record_decoder, value)
    service = key.removeprefix(_RECORD_PREFIX)
    return orders.RolloutRecord(
        _to_order(record.order, service),
        record.state,
        record.is_moving,
        record.started_at,
        record.rejected,
        record.run,
        record.is_withdrawn,
    )


def encode_record(record):
    """Return the bytes of a RolloutRecord."""
    order = record.order
    return msgspec.json.encode(
        _Record(
            _Order(order.to_version, order.over_s, order.service),
            record.state,
            record.is_moving,
            record.started_at,
            record.run,
            record.is_withdrawn,
            record.rejected,
        )
    )


def is_older(key, value, other):
    """Return whether a value of a key was written before another one.

    :returns: False too if the values do not tell.
    """
    try:
        if key.startswith(_RECORD_PREFIX):
            first = decode_record(key, value)
            return first.rank < decode_record(key, other).rank
        if key.startswith(_STATUS_PREFIX):
            first, second = decode_status(value), decode_status(other)
            return (
                first.to_version == second.to_version
                and not first.state.is_final
                and second.state.is_final
            )
    except ValueError:
        return False
    return False


def _to_order(order, service):
    over_s = min(order.over_s, MAX_OVER_S)
    return orders.RolloutOrder(service, order.to_version, over_s)


def _remove_prefix(key, prefix):
    return key.removeprefix(prefix) if key.startswith(prefix) else None
