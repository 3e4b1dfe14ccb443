"""A local copy of the store's items."""

import dataclasses
import math

from savorycross.discovery import item as items
from savorycross.events import failure

# Entries that expired in an outage are written again within 2 s of its end;
# the rest lets the last of them arrive.
REMOVAL_HOLD_S = 2.2
# A restored store may show keys again that had been removed. Owners remove
# them again, or the store does once nobody has renewed them for 3.6 s.
REVIVAL_HOLD_S = 4.0
# Tombstones identify older items that arrive late. They accumulate, as new
# targets come under new keys, so the oldest are dropped.
MAX_TOMBSTONES = 2000


class Mirror:
    """Holds the newest known item of each key.

    Removals during or just after an outage of the store are held back for a
    while, as a live owner writes its entry again. A store that was restored
    from an older copy shows what was known before; until the writers have
    written again what it lost, the mirror keeps newer values, and holds keys
    back that had been removed.

    ``revision`` is the store's Revision that the mirror has reached,
    ``is_complete`` tells whether a listing has filled it. Removals after
    ``removals_since`` are all known with their revisions. ``age_s`` tells
    for how long changes may be missing.

    :param on_change: called with the key and its new Item, or None once it
        is removed.
    :param is_older: callable that takes a key and two of its values, and
        returns whether their writer wrote the first one before the second.
    """

    def __init__(self, on_change, is_older=lambda key, value, other: False):
        self.revision = items.NO_REVISION
        self.removals_since = items.NO_REVISION
        self.is_complete = False
        self.items = {}
        self._on_change = on_change
        self._is_older = is_older
        self._tombstones = {}
        self._held_revivals = {}
        self._revive_at = 0.0
        self._held_removals = {}
        self._hold_until = 0.0
        self._current_at = -math.inf

    def note_current(self, at):
        """Note that no change is missing from before a time.

        :param at: runtime clock time in seconds.
        """
        self._current_at = max(self._current_at, at)

    def note_peer_current(self, revision, at):
        """Note that a peer lacked no change from before a time.

        This mirror lacked none either, if it has reached the peer's revision.

        :param revision: the store's Revision that the peer had reached.
        :param at: runtime clock time in seconds.
        """
        is_reached = (
            revision.era == self.revision.era and revision <= self.revision
        )
        if self.is_complete and is_reached:
            self.note_current(at)

    def forget_current(self):
        """Note that changes may be missing from any time."""
        self._current_at = -math.inf

    def age_s(self, now):
        """Return the seconds for which changes may be missing.

        :returns: infinity if that is not known.
        """
        return max(now - self._current_at, 0.0)

    def age_ms(self, now):
        """Return the same in whole milliseconds for a peer.

        :returns: None if that is not known, or removals may be missing.
        """
        age_s = self.age_s(now)
        if not self.is_complete or math.isinf(age_s):
            return None
        return math.ceil(age_s * 1000)

    def apply(self, item, now):
        """Apply an item or a removal, unless a newer one is known."""
        key = item.key
        known = self.items.get(key)
        if known is not None and known.revision >= item.revision:
            return
        removed_at = self._tombstones.get(key, items.NO_REVISION)
        if removed_at >= item.revision:
            return
        self._held_revivals.pop(key, None)
        if item.removed:
            self._add_tombstone(key, item.revision)
            if known is not None:
                self._remove(key, now)
        elif self._is_revived(item, removed_at):
            self._held_revivals[key] = item
            self._revive_at = now + REVIVAL_HOLD_S
        else:
            self._put(item, known)

    def take_newer_value(self, item):
        """Take an item's value if its writer wrote it after the known one.

        A mirror that was filled before the store was restored may have kept
        it. The revision stays the known one.
        """
        known = self.items.get(item.key)
        if known is None or not self._is_written_before(known, item):
            return
        self.items[item.key] = dataclasses.replace(known, value=item.value)
        self._notify(item.key, self.items[item.key])

    def _is_revived(self, item, removed_at):
        """Return whether a restored store shows a removed item again.

        Only the first listing of an era can: what comes later was written in
        that era.

        :param removed_at: Revision of the item's removal.
        """
        is_first_listing = self.revision.era < item.revision.era
        return is_first_listing and 0 < removed_at.era < item.revision.era

    def _put(self, item, known):
        """Store an item.

        :param known: Item that is known so far, or None.
        """
        key = item.key
        if (
            known is not None
            and known.revision.era < item.revision.era
            and self._is_written_before(item, known)
        ):
            item = dataclasses.replace(item, value=known.value)
        self._held_removals.pop(key, None)
        self._tombstones.pop(key, None)
        self.items[key] = item
        if known is None or known.value != item.value:
            self._notify(key, item)

    def _is_written_before(self, item, other):
        """Return whether the writer of a key wrote an item before another."""
        try:
            return self._is_older(item.key, item.value, other.value)
        except Exception as exc:
            # Values that cannot be compared must not hide other changes.
            failure.report(f'order of values of {item.key[:80]}', exc)
            return False

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
        for key in self._held_revivals.keys() - keys:
            if self._held_revivals[key].revision <= revision:
                del self._held_revivals[key]
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
        changes = [i for i in self.list_items() if i.revision > revision]
        changes += [
            items.Item(key, removed_at, removed=True)
            for key, removed_at in self._tombstones.items()
            if removed_at > revision
        ]
        return changes

    def list_items(self):
        """Return the Items that the store shows, as far as known.

        Items whose removal is held back are left out, and those are in that
        came back with a restored store and are held back.
        """
        listed = [
            i for i in self.items.values() if i.key not in self._held_removals
        ]
        return [*listed, *self._held_revivals.values()]

    def hold_remaining_s(self, now):
        """Return the seconds for which removals are still held back."""
        return max(0.0, self._hold_until - now)

    def hold_removals(self, now, hold_s=REMOVAL_HOLD_S):
        """Hold removals back for a time, as the store does not answer.

        :param hold_s: that time in seconds.
        """
        self._hold_until = max(self._hold_until, now + hold_s)

    def apply_held_changes(self, now):
        """Apply what is due and has not changed since it was held back."""
        if self._held_revivals and now >= self._revive_at:
            due, self._held_revivals = self._held_revivals, {}
            for item in due.values():
                self._put(item, None)
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
