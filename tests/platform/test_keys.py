"""Entries of the platform's store."""

import json

import pytest

from savorycross.platform import keys

ENTRY = {
    'service': 's',
    'addr': '10.0.0.9:8080',
    'zone': 'bilbo',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'warmup_ms': 1500,
    'born': 17,
    'seq': 4,
}


def _decode(**fields):
    data = json.dumps({**ENTRY, **fields}).encode()
    return keys.decode_target('servers/i-1', data)


def test_entry_describes_a_target():
    found = _decode()
    assert found.id == 'i-1'
    assert found.address == ('10.0.0.9', 8080)
    assert found.data_centre == 'bilbo'
    assert found.warmup_s == 1.5
    assert not found.is_draining
    assert _decode(state='draining').is_draining


@pytest.mark.parametrize(
    'fields',
    [
        {'addr': 'example.com:80'},
        {'addr': '10.0.0.9'},
        {'addr': '10.0.0.999:80'},
        {'addr': '10.0.0.9:99999'},
        {'addr': 7},
        {'slots': 'many'},
        {'slots': 0},
        {'state': 'resting'},
        {'service': None},
        {'born': 'early'},
    ],
)
def test_forged_entry_describes_none(fields):
    with pytest.raises(ValueError):
        _decode(**fields)


@pytest.mark.parametrize('data', [b'', b'\xff\xfe', b'{}', b'[1]'])
def test_broken_entry_describes_none(data):
    with pytest.raises(ValueError):
        keys.decode_target('servers/i-1', data)
