"""A copy of the store's items on one instance."""

from savorycross.events import failure

# Entries that lapsed while the store was away return within 2 s of its
# return; a little more lets the last of them arrive.
RETURN_HOLD_S = 2.2
# Late items are told by these many removals; targets come under new keys.
MAX_REMOVED = 2000


class Mirror:
    """The newest known items by key.

    Removals that come with or just after an outage of the store are held
    back for a while: a live owner writes its entry again.

    :param on_change: called with the key and the Item, or None once it is
        removed.
    """

    def __init__(self, on_change):
        self.revision = 0
        self.is_complete = False
        self.items = {}
        self._on_change = on_change
        self._removed = {}
        self._held = {}
        self._hold_until = 0.0

    def apply(self, item, now):
        """Take an item or a removal; older ones are ignored."""
        key = item.key
        known = self.items.get(key)
        if known is not None and known.revision >= item.revision:
            return
        if self._removed.get(key, 0) >= item.revision:
            return
        if not item.removed:
            self._held.pop(key, None)
            self._removed.pop(key, None)
            self.items[key] = item
            if known is None or known.value != item.value:
                self._tell(key, item)
            return
        self._note_removed(key, item.revision)
        if known is not None:
            self._remove(key, now)

    def retain(self, keys, now):
        """Remove all items but these, after a complete listing."""
        for key in [k for k in self.items if k not in keys]:
            self._remove(key, now)

    def note_outage(self, now):
        """Hold removals back, as the store does not answer."""
        self._hold_until = max(self._hold_until, now + RETURN_HOLD_S)

    def apply_due_removals(self, now):
        """Carry out the removals whose time has come."""
        if not self._held or now < self._hold_until:
            return
        held, self._held = self._held, {}
        for key, revision in held.items():
            known = self.items.get(key)
            if known is not None and known.revision == revision:
                self._drop(key)

    def _remove(self, key, now):
        if now < self._hold_until:
            self._held[key] = self.items[key].revision
            return
        self._held.pop(key, None)
        self._drop(key)

    def _drop(self, key):
        """Forget an item; changes up to its revision come late."""
        self._note_removed(key, self.items.pop(key).revision)
        self._tell(key, None)

    def _note_removed(self, key, revision):
        self._removed[key] = max(revision, self._removed.get(key, 0))
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _tell(self, key, item):
        try:
            self._on_change(key, item)
        except Exception as exc:
            # One item that cannot be handled must not hide the others.
            failure.report(f'change of {key[:80]}', exc)
