"""The local copy of the store's items."""

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
    tested.apply_due_removals(11.9)
    assert len(changes) == 2
    tested.apply(item.Item('a', fakes.at(9), b'x'), 12.0)
    tested.apply_due_removals(10.0 + mirror.REMOVAL_HOLD_S + 0.1)
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
