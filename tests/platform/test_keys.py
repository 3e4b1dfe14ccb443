"""Decoding of the entries of targets."""

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

# An entry that breaks off within nested lists.
DEEP = b'{"further":' + b'[' * 5000


def _entry(**fields):
    return json.dumps({**ENTRY, **fields}).encode()


def _decode(**fields):
    return keys.decode_target('servers/i-1', _entry(**fields))


def test_entry_describes_a_target():
    target = _decode()
    assert target.id == 'i-1'
    assert target.address == ('10.0.0.9', 8080)
    assert target.data_centre == 'bilbo'
    assert target.warmup_s == 1.5
    assert target.version == 'v1'
    assert not target.is_draining
    assert _decode(state='draining').is_draining


@pytest.mark.parametrize(
    'fields',
    [
        {'addr': 'example.com:80'},
        {'addr': '10.0.0.9'},
        {'addr': '10.0.0.999:80'},
        {'addr': '10.0.0.9:99999'},
        {'addr': 7},
        {'slots': 10**400},
        {'born': 10**30},
        {'slots': 'many'},
        {'slots': 0},
        {'state': 'resting'},
        {'service': None},
        {'born': 'early'},
    ],
)
def test_entry_with_an_invalid_field_is_an_error(fields):
    with pytest.raises(ValueError):
        _decode(**fields)


@pytest.mark.parametrize('data', [b'', b'\xff\xfe', b'{}', b'[1]', DEEP])
def test_malformed_entry_is_an_error(data):
    with pytest.raises(ValueError):
        keys.decode_target('servers/i-1', data)


@pytest.mark.parametrize(
    ('key', 'value', 'other', 'expected'),
    [
        ('op/config', b'{"version":5}', b'{"version":10}', True),
        ('op/config', b'{"version":10}', b'{"version":10}', False),
        ('op/config', b'{"version":10}', b'{}', False),
        ('servers/i', _entry(seq=3, born=7), _entry(seq=4, born=7), True),
        ('servers/i', _entry(seq=4, born=7), _entry(seq=3, born=7), False),
        ('servers/i', _entry(seq=1, born=9), _entry(seq=4, born=7), False),
        ('servers/i', b'no entry', _entry(seq=4, born=7), False),
        ('servers/i', DEEP, _entry(seq=4, born=7), False),
        ('servers/i', DEEP, DEEP, False),
        ('op/config', DEEP, b'{"version":10}', False),
        ('op/evacuate/z', b'{}', b'{ }', False),
    ],
)
def test_writers_tell_which_of_two_values_is_older(
    key, value, other, expected
):
    assert keys.is_older(key, value, other) is expected
