"""Keys of the platform's store."""

import ipaddress

import msgspec

from savorycross.discovery import target
from savorycross import host_port

CONFIGURATION = 'op/config'
_EVACUATION = 'op/evacuate/'
_TARGET = 'servers/'
_INSTANCE = 'savorycross/instances/'
_STATES = ('ready', 'draining')


class _Entry(msgspec.Struct, frozen=True):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    version: str = ''
    # Milliseconds for which a target stays slow after its start.
    warmup_ms: float = 0.0
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def is_target(key):
    """Tell whether a key holds a target's entry."""
    return key.startswith(_TARGET)


def evacuated_data_centre(key):
    """Return the data centre that a key takes out, or None."""
    if key.startswith(_EVACUATION):
        return key.removeprefix(_EVACUATION)
    return None


def instance_key(name):
    """Return the key under which an instance announces itself."""
    return _INSTANCE + name


def is_instance(key):
    """Tell whether a key holds an instance's announcement."""
    return key.startswith(_INSTANCE)


def decode_target(key, value):
    """Return the Target in an entry.

    :raises ValueError: if the entry describes none.
    """
    found = _decoder.decode(value)
    if found.state not in _STATES:
        raise ValueError(f'state {found.state!r}')
    address = host_port.split(found.addr)
    ipaddress.IPv4Address(address[0])
    if found.slots < 1:
        raise ValueError(f'slots {found.slots}')
    return target.Target(
        id=target_id(key),
        service=found.service,
        address=address,
        data_centre=found.zone,
        slots=found.slots,
        is_draining=found.state == 'draining',
        born=found.born,
        warmup_s=found.warmup_ms / 1000,
    )


def target_id(key):
    """Return the id of the target whose entry a key holds."""
    return key.removeprefix(_TARGET)
