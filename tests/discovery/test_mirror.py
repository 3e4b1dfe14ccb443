"""The local copy of the store's items."""

import pytest

from savorycross.discovery import item
from savorycross.discovery import mirror
from tests.discovery import fakes


class Changes(list):
    """Collects pairs of key and value; the value is None if removed."""

    def __call__(self, key, changed):
        self.append((key, changed.value if changed is not None else None))


def _make():
    changes = Changes()
    return mirror.Mirror(changes), changes


def test_older_item_is_ignored():
    tested, changes = _make()
    tested.apply(item.Item('a', fakes.at(5), b'new'), 0.0)
    tested.apply(item.Item('a', fakes.at(4), b'old'), 0.0)
    assert changes == [('a', b'new')]


def test_removal_hides_older_items():
    tested, changes = _make()
    tested.apply(item.Item('a', fakes.at(5), b'x'), 0.0)
    tested.apply(item.Item('a', fakes.at(7), removed=True), 0.0)
    tested.apply(item.Item('a', fakes.at(6), b'late'), 0.0)
    assert changes == [('a', b'x'), ('a', None)]


def test_listing_removes_the_items_it_lacks():
    tested, changes = _make()
    tested.apply(item.Item('a', fakes.at(5), b'x'), 0.0)
    tested.retain({'b'}, fakes.at(9), 0.0)
    assert changes[-1] == ('a', None)


def test_removal_after_an_outage_is_held_back():
    tested, changes = _make()
    tested.apply(item.Item('a', fakes.at(5), b'x'), 0.0)
    tested.apply(item.Item('b', fakes.at(6), b'x'), 0.0)
    tested.hold_removals(10.0)
    tested.apply(item.Item('a', fakes.at(7), removed=True), 10.5)
    tested.apply(item.Item('b', fakes.at(8), removed=True), 10.5)
    tested.apply_held_changes(11.9)
    assert len(changes) == 2
    tested.apply(item.Item('a', fakes.at(9), b'x'), 12.0)
    tested.apply_held_changes(10.0 + mirror.REMOVAL_HOLD_S + 0.1)
    assert changes[2:] == [('b', None)]


def test_unchanged_value_is_no_change():
    tested, changes = _make()
    tested.apply(item.Item('a', fakes.at(5), b'x'), 0.0)
    tested.apply(item.Item('a', fakes.at(6), b'x'), 0.0)
    assert len(changes) == 1


def test_callback_that_fails_for_one_item_does_not_hide_others():
    seen = []

    def change(key, changed):
        if key == 'bad':
            raise KeyError(key)
        seen.append(key)

    tested = mirror.Mirror(change)
    tested.apply(item.Item('bad', fakes.at(1), b'x'), 0.0)
    tested.apply(item.Item('good', fakes.at(2), b'x'), 0.0)
    assert seen == ['good']


def test_oldest_tombstones_are_dropped():
    tested, _ = _make()
    for n in range(mirror.MAX_TOMBSTONES + 50):
        tested.apply(item.Item(f'k{n}', fakes.at(2 * n + 1), b'x'), 0.0)
        tested.apply(
            item.Item(f'k{n}', fakes.at(2 * n + 2), removed=True), 0.0
        )
    assert len(tested._tombstones) <= mirror.MAX_TOMBSTONES
    newest = f'k{mirror.MAX_TOMBSTONES + 49}'
    tested.apply(item.Item(newest, fakes.at(3), b'late'), 0.0)
    assert newest not in tested.items


def _restore(tested, *listed, now=10.0):
    """Let a mirror see the first listing of a new era, as a Follower does."""
    era = tested.revision.era + 1
    for number, (key, value) in enumerate(listed, 1):
        tested.apply(item.Item(key, fakes.at(number, era), value), now)
    newest = fakes.at(len(listed), era)
    tested.retain({key for key, _ in listed}, newest, now)
    tested.revision = newest


def _is_shorter(key, value, other):
    return len(value) < len(other)


def _make_with_order():
    """Return a mirror whose writers write longer values each time."""
    changes = Changes()
    tested = mirror.Mirror(changes, _is_shorter)
    tested.apply(item.Item('a', fakes.at(5), b'newest'), 0.0)
    tested.revision = fakes.at(5)
    return tested, changes


def test_older_value_of_a_restored_store_does_not_replace_a_newer_one():
    tested, changes = _make_with_order()
    _restore(tested, ('a', b'old'))
    assert changes == [('a', b'newest')]
    assert tested.list_items()[0].value == b'newest'
    tested.apply(item.Item('a', fakes.at(2, era=2), b'newer still'), 11.0)
    assert changes[1:] == [('a', b'newer still')]


def test_newer_value_of_a_restored_store_is_taken():
    tested, changes = _make_with_order()
    _restore(tested, ('a', b'written since'))
    assert changes[1:] == [('a', b'written since')]


def test_key_that_a_restored_store_lost_is_kept_until_it_is_written_again():
    tested, changes = _make_with_order()
    _restore(tested, ('b', b'x'))
    tested.apply(item.Item('a', fakes.at(2, era=2), b'again!'), 11.0)
    tested.apply_held_changes(100.0)
    assert ('a', None) not in changes
    assert tested.items['a'].value == b'again!'


def _make_with_removed():
    tested, changes = _make()
    tested.apply(item.Item('left', fakes.at(5), b'x'), 0.0)
    tested.apply(item.Item('left', fakes.at(6), removed=True), 0.0)
    tested.revision = fakes.at(6)
    changes.clear()
    return tested, changes


def test_removed_key_that_comes_back_with_a_restore_is_held_back():
    tested, changes = _make_with_removed()
    _restore(tested, ('left', b'x'))
    tested.apply(item.Item('left', fakes.at(2, era=2), removed=True), 11.0)
    tested.apply_held_changes(100.0)
    assert changes == []


def test_removed_key_that_stays_after_a_restore_is_in_use_again():
    tested, changes = _make_with_removed()
    _restore(tested, ('left', b'x'), now=10.0)
    tested.apply_held_changes(10.0 + mirror.REVIVAL_HOLD_S - 0.1)
    assert changes == []
    assert [i.key for i in tested.list_items()] == ['left']
    tested.apply_held_changes(10.0 + mirror.REVIVAL_HOLD_S)
    assert changes == [('left', b'x')]


def test_key_that_is_written_after_a_restore_is_in_use_at_once():
    tested, changes = _make_with_removed()
    _restore(tested, ('other', b'x'))
    tested.apply(item.Item('left', fakes.at(2, era=2), b'new'), 11.0)
    assert changes[-1] == ('left', b'new')


def test_two_restores_in_a_row_hold_the_same_key_back():
    tested, changes = _make_with_removed()
    _restore(tested, ('left', b'x'))
    _restore(tested, ('left', b'x'), now=12.0)
    tested.apply_held_changes(10.0 + mirror.REVIVAL_HOLD_S)
    assert changes == []
    _restore(tested, ('other', b'x'), now=15.0)
    tested.apply_held_changes(100.0)
    assert changes == [('other', b'x')]


def test_values_that_cannot_be_compared_hide_no_other_change():
    changes = Changes()

    def is_older(key, value, other):
        raise RuntimeError(key)

    tested = mirror.Mirror(changes, is_older)
    tested.apply(item.Item('a', fakes.at(5), b'x'), 0.0)
    tested.apply(item.Item('a', fakes.at(1, era=2), b'y'), 0.0)
    tested.take_newer_value(item.Item('a', fakes.at(1, era=2), b'z'))
    assert changes == [('a', b'x'), ('a', b'y')]


def _make_complete(revision, current_at):
    tested, _ = _make()
    tested.revision = revision
    tested.is_complete = True
    tested.note_current(current_at)
    return tested


# Guards against a mirror that counts as current because an older one is not
# known to be.
def test_age_is_not_known_before_a_listing():
    tested, _ = _make()
    assert tested.age_ms(5.0) is None
    tested.note_peer_current(fakes.at(9), 4.0)
    assert tested.age_ms(5.0) is None


@pytest.mark.parametrize(
    'peer_revision, age_s',
    [
        (fakes.at(7), 1.0),
        (fakes.at(6), 1.0),
        (fakes.at(8), 3.0),
        (fakes.at(6, era=2), 3.0),
        (fakes.at(6, era=0), 3.0),
    ],
)
def test_peer_with_nothing_newer_tells_how_current_the_mirror_is(
    peer_revision, age_s
):
    tested = _make_complete(fakes.at(7), current_at=10.0)
    tested.note_peer_current(peer_revision, 12.0)
    assert tested.age_s(13.0) == age_s
    tested.note_current(11.0)
    assert tested.age_s(13.0) == min(age_s, 2.0)
