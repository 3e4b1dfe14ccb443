"""Keys of the platform's store, and the entries of targets."""

import ipaddress

import msgspec

from savorycross import decoding
from savorycross.discovery import target
from savorycross import host_port
from savorycross.platform import rollout_keys

CONFIGURATION = 'op/config'
_EVACUATION_PREFIX = 'op/evacuate/'
_TARGET_PREFIX = 'servers/'
_INSTANCE_PREFIX = 'savorycross/instances/'
_STATES = ('ready', 'draining')


class _Entry(msgspec.Struct, frozen=True):
    service: str
    addr: str
    zone: str
    slots: decoding.Integer
    state: str
    version: str = ''
    # Milliseconds for which a target stays slow after its start.
    warmup_ms: float = 0.0
    born: decoding.Integer = 0
    # Number of the target's writes since its start.
    seq: decoding.Integer = 0


class _Version(msgspec.Struct, frozen=True):
    version: decoding.Integer


_decoder = msgspec.json.Decoder(_Entry)
_version_decoder = msgspec.json.Decoder(_Version)


def is_target(key):
    """Return whether a key holds a target's entry."""
    return key.startswith(_TARGET_PREFIX)


def evacuated_data_centre(key):
    """Return the data centre that a key asks to evacuate, or None."""
    if key.startswith(_EVACUATION_PREFIX):
        return key.removeprefix(_EVACUATION_PREFIX)
    return None


def instance_key(name):
    """Return the key of an instance's announcement."""
    return _INSTANCE_PREFIX + name


def is_instance(key):
    """Return whether a key holds an instance's announcement."""
    return key.startswith(_INSTANCE_PREFIX)


def is_rollout(key):
    """Return whether a key holds anything about a roll-out."""
    return rollout_keys.is_rollout(key)


def decode_target(key, value):
    """Return the Target that an entry describes.

    :param key: key of the entry.
    :param value: bytes of the entry, in JSON.
    :raises ValueError: if the entry is invalid.
    """
    entry = decoding.decode(_decoder, value)
    if entry.state not in _STATES:
        raise ValueError(f'state {entry.state!r}')
    address = host_port.split(entry.addr)
    ipaddress.IPv4Address(address[0])
    if entry.slots < 1:
        raise ValueError(f'slots {entry.slots}')
    return target.Target(
        id=target_id(key),
        service=entry.service,
        address=address,
        data_centre=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == 'draining',
        born=entry.born,
        warmup_s=entry.warmup_ms / 1000,
        version=entry.version,
    )


def is_older(key, value, other):
    """Return whether the writer of a key wrote a value before another one.

    :returns: False too if the values do not tell.
    """
    if rollout_keys.is_rollout(key):
        return rollout_keys.is_older(key, value, other)
    try:
        if key == CONFIGURATION:
            first, second = _decode_both(_version_decoder, value, other)
            return first.version < second.version
        if is_target(key):
            first, second = _decode_both(_decoder, value, other)
            return first.born == second.born and first.seq < second.seq
    except ValueError:
        return False
    return False


def _decode_both(decoder, value, other):
    return decoding.decode(decoder, value), decoding.decode(decoder, other)


def target_id(key):
    """Return the id of the target whose entry a key holds."""
    return key.removeprefix(_TARGET_PREFIX)
