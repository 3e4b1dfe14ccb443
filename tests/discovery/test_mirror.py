"""The copy of the store's items."""

from savorycross.discovery import item
from savorycross.discovery import mirror


class Changes(list):
    """Collects changes."""

    def __call__(self, key, found):
        self.append((key, found.value if found is not None else None))


def _make():
    changes = Changes()
    return mirror.Mirror(changes), changes


def test_older_item_is_ignored():
    found, changes = _make()
    found.apply(item.Item('a', 5, b'new'), 0.0)
    found.apply(item.Item('a', 4, b'old'), 0.0)
    assert changes == [('a', b'new')]


def test_removal_hides_older_items():
    found, changes = _make()
    found.apply(item.Item('a', 5, b'x'), 0.0)
    found.apply(item.Item('a', 7, removed=True), 0.0)
    found.apply(item.Item('a', 6, b'late'), 0.0)
    assert changes == [('a', b'x'), ('a', None)]


def test_listing_removes_what_it_lacks():
    found, changes = _make()
    found.apply(item.Item('a', 5, b'x'), 0.0)
    found.retain({'b'}, 0.0)
    assert changes[-1] == ('a', None)


def test_removal_after_an_outage_is_held_back():
    found, changes = _make()
    found.apply(item.Item('a', 5, b'x'), 0.0)
    found.apply(item.Item('b', 6, b'x'), 0.0)
    found.note_outage(10.0)
    found.apply(item.Item('a', 7, removed=True), 10.5)
    found.apply(item.Item('b', 8, removed=True), 10.5)
    found.apply_due_removals(11.9)
    assert len(changes) == 2
    found.apply(item.Item('a', 9, b'x'), 12.0)
    found.apply_due_removals(10.0 + mirror.RETURN_HOLD_S + 0.1)
    assert changes[2:] == [('b', None)]


def test_unchanged_value_is_no_change():
    found, changes = _make()
    found.apply(item.Item('a', 5, b'x'), 0.0)
    found.apply(item.Item('a', 6, b'x'), 0.0)
    assert len(changes) == 1


def test_item_that_cannot_be_handled_does_not_hide_others():
    seen = []

    def change(key, found):
        if key == 'bad':
            raise KeyError(key)
        seen.append(key)

    found = mirror.Mirror(change)
    found.apply(item.Item('bad', 1, b'x'), 0.0)
    found.apply(item.Item('good', 2, b'x'), 0.0)
    assert seen == ['good']


def test_old_removals_are_forgotten():
    found, _ = _make()
    for n in range(mirror.MAX_REMOVED + 50):
        found.apply(item.Item(f'k{n}', 2 * n + 1, b'x'), 0.0)
        found.apply(item.Item(f'k{n}', 2 * n + 2, removed=True), 0.0)
    assert len(found._removed) <= mirror.MAX_REMOVED
    newest = f'k{mirror.MAX_REMOVED + 49}'
    found.apply(item.Item(newest, 3, b'late'), 0.0)
    assert newest not in found.items
