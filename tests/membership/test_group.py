"""A group that reads its view from a store, while views change."""

import dataclasses

import msgspec
import pytest
import trio

from savorycross.catalogue import catalogue
from savorycross.events import clock
from savorycross.events import journal
from savorycross.membership import detector
from savorycross.membership import group
from savorycross.membership import member
from savorycross.membership import view as views
from savorycross.peer import messages
from savorycross.sheet import publish
from savorycross.sheet import recovery
from standins import platform_model

OWN = member.Member('a', 'x', '127.0.0.1', 1, 2, member.make_incarnation(1))
OTHER = member.Member('b', 'x', '127.0.0.1', 3, 4, member.make_incarnation(1))


async def _ignore(*args):
    """Do nothing."""


def _make(store):
    events = journal.Journal(clock.HybridClock(lambda: 0), OWN.name)
    made = group.Group(
        OWN,
        store,
        None,
        detector.Header,
        lambda view: None,
        _ignore,
        lambda: None,
        events,
    )
    return made, events


@pytest.fixture
async def stored(autojump_clock):
    """Return a store that holds the first view, of one member."""
    store = platform_model.PlatformModel()
    first = views.EMPTY_VIEW.with_member(OWN)
    await store.put(views.VIEW_KEY, views.encode(first), 0)
    return store, first


async def test_view_that_a_peer_tells_during_a_read_is_not_taken_for_lost(
    stored, autojump_clock, monkeypatch
):
    store, first = stored
    tested, events = _make(store)
    tested.adopt(first)
    get = store.get

    async def get_and_hear_of_the_next_view(key):
        entry = await get(key)
        tested.adopt(first.with_member(OTHER))
        return entry

    monkeypatch.setattr(store, 'get', get_and_hear_of_the_next_view)
    await tested.sync()
    assert not [e for e in events.select() if e.kind == 'view.proposed']


async def test_view_that_was_held_before_the_read_is_written_again(
    stored, autojump_clock
):
    store, first = stored
    tested, events = _make(store)
    held = first.with_member(OTHER)
    tested.adopt(held)
    await tested.sync()
    assert tested.view.members == held.members
    assert tested.view.epoch == held.epoch + 1
    entry = await store.get(views.VIEW_KEY)
    assert views.decode(entry.value) == tested.view


async def test_sheet_that_is_announced_during_a_read_is_not_taken_for_lost(
    stored, autojump_clock
):
    store, _ = stored
    events = journal.Journal(clock.HybridClock(lambda: 0), OWN.name)
    tested = recovery.ManifestRecovery(store, events)
    older = publish.Manifest(1, 'op', catalogue.Catalogue().digest)
    first = catalogue.Catalogue(version=1)
    await tested.check(older, 0, first, held_since=1.0, asked_at=2.0)
    current = catalogue.Catalogue(version=2)
    await tested.check(older, 0, current, held_since=5.0, asked_at=4.0)
    assert not events.select()
    await tested.check(older, 0, current, held_since=5.0, asked_at=6.0)
    assert [e.kind for e in events.select()] == ['config.recovered']


NAMES = 'abcdefgh'
# An accepted sheet is in force everywhere in seconds.
IN_FORCE_S = 5.0


class Reader:
    """An instance that reads the store seldom, as others do it."""

    def __init__(self, store, nursery):
        self.version = 0
        own = dataclasses.replace(OWN, name=NAMES[-1])
        everyone = views.EMPTY_VIEW
        for name in NAMES:
            everyone = everyone.with_member(
                dataclasses.replace(OWN, name=name)
            )
        events = journal.Journal(clock.HybridClock(lambda: 0), own.name)
        self.group = group.Group(
            own,
            store,
            None,
            detector.Header,
            lambda view: None,
            self._on_manifest,
            lambda: None,
            events,
            read_version=lambda: self.version,
        )
        self.group.adopt(everyone)
        nursery.start_soon(self.group.run_sync)

    async def _on_manifest(self, manifest, revision, asked_at):
        self.version = max(self.version, manifest.version)

    def confirm(self, version, age_ms):
        """Receive a heartbeat of an instance that read the store."""
        datagram = messages.Datagram(
            'ping',
            NAMES[0],
            1,
            1,
            config_version=version,
            confirmed_age_ms=age_ms,
        )
        self.group.note_confirmation(datagram, trio.current_time())


async def _write_manifest(store, version):
    manifest = publish.Manifest(version, 'op', catalogue.Catalogue().digest)
    entry = await store.get(publish.MANIFEST_KEY)
    await store.put(
        publish.MANIFEST_KEY, msgspec.json.encode(manifest), entry.revision
    )


# Guards against instances that take the silence of those that read the store
# for that of operators.
async def test_sheet_is_read_once_nobody_confirms_the_one_in_force(
    nursery, stored
):
    store, _ = stored
    reader = Reader(store, nursery)
    await trio.sleep(1)
    await _write_manifest(store, 7)
    for _ in range(4):
        reader.confirm(8, 0)
        reader.confirm(0, 5000)
        await trio.sleep(IN_FORCE_S / 4)
    assert reader.version == 7


async def test_sheet_that_others_confirm_is_read_seldom(nursery, stored):
    store, _ = stored
    reader = Reader(store, nursery)
    await trio.sleep(1)
    await _write_manifest(store, 7)
    for _ in range(40):
        reader.confirm(0, 500)
        await trio.sleep(0.25)
    assert reader.version == 0
