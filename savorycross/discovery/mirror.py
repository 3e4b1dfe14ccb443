"""A local copy of the store's items."""

from savorycross.discovery import item as items
from savorycross.events import failure

# Entries that expired in an outage are written again within 2 s of its end;
# the rest lets the last of them arrive.
REMOVAL_HOLD_S = 2.2
# Tombstones identify older items that arrive late. They accumulate, as new
# targets come under new keys, so the oldest are dropped.
MAX_TOMBSTONES = 2000


class Mirror:
    """Holds the newest known item of each key.

    Removals during or just after an outage of the store are held back for a
    while, as a live owner writes its entry again.

    ``revision`` is the store's Revision that the mirror has reached,
    ``is_complete`` tells whether a listing has filled it. Removals after
    ``removals_since`` are all known with their revisions.

    :param on_change: called with the key and its new Item, or None once it
        is removed.
    """

    def __init__(self, on_change):
        self.revision = items.NO_REVISION
        self.removals_since = items.NO_REVISION
        self.is_complete = False
        self.items = {}
        self._on_change = on_change
        self._tombstones = {}
        self._held_removals = {}
        self._hold_until = 0.0

    def apply(self, item, now):
        """Apply an item or a removal, unless a newer one is known."""
        key = item.key
        known = self.items.get(key)
        if known is not None and known.revision >= item.revision:
            return
        if self._tombstones.get(key, items.NO_REVISION) >= item.revision:
            return
        if not item.removed:
            self._held_removals.pop(key, None)
            self._tombstones.pop(key, None)
            self.items[key] = item
            if known is None or known.value != item.value:
                self._notify(key, item)
            return
        self._add_tombstone(key, item.revision)
        if known is not None:
            self._remove(key, now)

    def retain(self, keys, revision, now):
        """Remove all items but those of the keys of a complete listing.

        If the store was restored, removals are held back, as their owners
        write the keys again that the store lost.

        :param revision: the store's Revision that the listing shows at
            least; newer items stay.
        """
        if 0 < self.revision.era < revision.era:
            self.hold_removals(now)
        removed = [
            i.key
            for i in self.items.values()
            if i.key not in keys and i.revision <= revision
        ]
        for key in removed:
            self._remove(key, now)
        self.forget_removals(revision)

    def forget_removals(self, revision):
        """Note that removals up to a revision may be unknown."""
        self.removals_since = max(self.removals_since, revision)

    def changes_after(self, revision):
        """Return the items and removals after a revision, or None.

        :returns: list of Items; None if some removals since then are not
            known.
        """
        if revision < self.removals_since:
            return None
        changes = [
            i
            for i in self.items.values()
            if i.revision > revision and i.key not in self._held_removals
        ]
        changes += [
            items.Item(key, removed_at, removed=True)
            for key, removed_at in self._tombstones.items()
            if removed_at > revision
        ]
        return changes

    def list_items(self):
        """Return the Items, without those whose removal is held back."""
        return [
            i for i in self.items.values() if i.key not in self._held_removals
        ]

    def hold_remaining_s(self, now):
        """Return the seconds for which removals are still held back."""
        return max(0.0, self._hold_until - now)

    def hold_removals(self, now, hold_s=REMOVAL_HOLD_S):
        """Hold removals back for a time, as the store does not answer.

        :param hold_s: that time in seconds.
        """
        self._hold_until = max(self._hold_until, now + hold_s)

    def apply_due_removals(self, now):
        """Apply the removals that are due, except to items changed since."""
        if not self._held_removals or now < self._hold_until:
            return
        due, self._held_removals = self._held_removals, {}
        for key, revision in due.items():
            known = self.items.get(key)
            if known is not None and known.revision == revision:
                self._remove_now(key)

    def _remove(self, key, now):
        """Remove an item, or hold its removal back after an outage."""
        if now < self._hold_until:
            self._held_removals[key] = self.items[key].revision
            return
        self._held_removals.pop(key, None)
        self._remove_now(key)

    def _remove_now(self, key):
        """Remove an item at once; changes up to its revision are outdated."""
        self._add_tombstone(key, self.items.pop(key).revision)
        self._notify(key, None)

    def _add_tombstone(self, key, revision):
        known = self._tombstones.get(key, items.NO_REVISION)
        self._tombstones[key] = max(revision, known)
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self.forget_removals(self._tombstones.pop(oldest))

    def _notify(self, key, item):
        try:
            self._on_change(key, item)
        except Exception as exc:
            # A callback that fails for one item must not hide other changes.
            failure.report(f'change of {key[:80]}', exc)
