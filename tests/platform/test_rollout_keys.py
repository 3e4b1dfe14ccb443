"""Keys and values of roll-outs in the store."""

import dataclasses

import pytest

from savorycross.platform import keys
from savorycross.platform import rollout_keys
from savorycross.rollout import order as orders

KEY = 'op/rollout/s'
VALUE = b'{"service": "s", "to_version": "v2", "over_s": 60, "further": 1}'
RECORD = orders.RolloutRecord(
    orders.RolloutOrder('s', 'v2', 60.0),
    orders.State.ROLLING,
    False,
    1000.0,
    ('v1',),
    3,
)


def test_order_is_decoded():
    order = rollout_keys.decode_order(KEY, VALUE)
    assert order == RECORD.order
    assert rollout_keys.ordered_service(KEY) == 's'
    assert keys.is_rollout(KEY)


@pytest.mark.parametrize(
    'value',
    [
        b'{}',
        b'{"to_version": "v2", "over_s": 0}',
        b'{"to_version": "v2", "over_s": -1}',
        b'{"to_version": 2, "over_s": 9}',
        b'{"to_version": "v2", "over_s": 9, "service": "other"}',
        b'[' * 5000,
    ],
)
def test_invalid_order_is_an_error(value):
    with pytest.raises(ValueError):
        rollout_keys.decode_order(KEY, value)


def test_record_and_status_can_be_read_again():
    key = rollout_keys.record_key('s')
    value = rollout_keys.encode_record(RECORD)
    assert rollout_keys.decode_record(key, value) == RECORD
    status = rollout_keys.encode_status(RECORD.status)
    assert status == b'{"to_version":"v2","state":"rolling"}'
    assert rollout_keys.decode_status(status) == RECORD.status


# Guards against a restored store whose older record replaces a newer one.
def test_later_record_is_newer():
    key = rollout_keys.record_key('s')
    ended = dataclasses.replace(RECORD, state=orders.State.REVERTED)
    again = dataclasses.replace(RECORD, run=4)
    values = [rollout_keys.encode_record(r) for r in (RECORD, ended, again)]
    assert keys.is_older(key, values[0], values[1])
    assert keys.is_older(key, values[1], values[2])
    assert not keys.is_older(key, values[2], values[1])
