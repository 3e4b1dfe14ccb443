"""Changes of the store's items, valid and invalid."""

import json

import pytest

from savorycross.discovery import item
from savorycross.discovery import mirror
from savorycross.gateway import gateway
from savorycross.gateway import store_changes
from savorycross.platform import configuration
from savorycross.platform import keys
from tests.discovery import fakes
from tests.forward import fake_engine
from tests import recording_log

DEEP = b'{"further":' + b'[' * 5000


def _entry(n, state='ready'):
    return json.dumps(
        {
            'service': 's',
            'addr': f'10.0.0.{n}:80',
            'zone': 'bilbo',
            'slots': 4,
            'state': state,
            'born': 1,
        }
    ).encode()


class World:
    """A mirror of the store whose changes reach an engine's targets."""

    def __init__(self):
        self.engine = fake_engine.FakeEngine()
        self.gateway = gateway.Gateway(self.engine)
        self.log = recording_log.RecordingLog()
        handler = store_changes.StoreChangeHandler(
            keys,
            configuration.decode_configuration,
            self.gateway,
            self.engine.target_registry,
            self.log,
            self.engine.metrics,
            self.engine.now,
            lambda key, changed: None,
        )
        self.mirror = mirror.Mirror(handler.apply, keys.is_older)

    def apply(self, key, value, revision, era=1):
        """Apply an item of the store."""
        changed = item.Item(key, fakes.at(revision, era), value)
        self.mirror.apply(changed, self.engine.time)

    @property
    def usable(self):
        """Ids of the targets that may be used."""
        states = self.engine.target_registry.list_usable('s')
        return {s.target.id for s in states}


@pytest.fixture
def world():
    return World()


# Guards against a listing of a restored store that ended at an entry which
# cannot be read, so that leaving targets went on to get requests.
def test_entries_after_an_unreadable_one_are_applied_after_a_restore(world):
    world.apply('servers/a', DEEP, 1)
    world.apply('servers/b', _entry(2), 2)
    world.apply('servers/a', DEEP, 1, era=2)
    world.apply('servers/b', _entry(2, 'draining'), 2, era=2)
    assert not world.usable


def test_target_whose_entry_can_no_longer_be_read_is_not_used(world):
    world.apply('servers/a', _entry(1), 1)
    world.apply('servers/b', _entry(2), 2)
    assert world.usable == {'a', 'b'}
    world.apply('servers/a', DEEP, 3)
    assert world.usable == {'b'}


def test_unreadable_configuration_is_reported_and_leaves_the_one_in_force(
    world,
):
    world.apply('op/config', b'{"version":1,"routes":[]}', 1)
    world.apply('op/config', DEEP, 2)
    assert world.gateway.version == 1
    assert world.log.fields('configuration.invalid')


# Guards against an operator who moves a key and doesn't see that it stayed.
def test_key_that_two_workspaces_have_is_logged_without_the_key(world):
    tenants = [{'name': n, 'api_keys': ['sesame-7']} for n in ('a', 'b')]
    document = {'version': 2, 'routes': [], 'tenants': tenants}
    world.apply(keys.CONFIGURATION, json.dumps(document).encode(), 2)
    (fields,) = world.log.fields('workspace.key_taken')
    assert fields == {'workspace': 'b', 'holder': 'a'}
    assert 'sesame' not in str(world.log.events)
