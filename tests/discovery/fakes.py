"""A fake of the store."""

import trio

from savorycross.discovery import item
from savorycross import errors


class FakeStore:
    """Holds items; can be unavailable, and can drop its history.

    ``is_down`` makes all calls fail, ``is_silent`` makes watches hang;
    without ``has_history``, all watches fail.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.is_down = False
        self.is_silent = False
        self.has_history = True
        self.era = 1
        self.oldest_revision = 0
        self.calls = []
        self._events = []
        self._changed = trio.Event()

    def put_value(self, key, value):
        """Write a key."""
        self.revision += 1
        self.items[key] = item.Item(key, self.revision, value)
        self._add_event(self.items[key])

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._add_event(item.Item(key, self.revision, removed=True))

    def drop_history(self):
        """Drop all changes, so that older watches fail."""
        self.oldest_revision = self.revision
        self._events.clear()

    async def read_page(self, after):
        """Return all items."""
        self._record_call('list')
        await trio.lowlevel.checkpoint()
        items = tuple(self.items.values())
        return item.Page(items, self.revision, era=self.era)

    async def watch(self, revision, wait_s):
        """Return changes after a revision."""
        self._record_call('watch')
        if revision < self.oldest_revision or not self.has_history:
            await trio.sleep(0.004)
            raise errors.HistoryGoneError(f'revision {revision}')
        if self.is_silent:
            await trio.sleep_forever()
        with trio.move_on_after(wait_s):
            while self.revision <= revision:
                await self._changed.wait()
                self._record_call('watch')
        events = tuple(e for e in self._events if e.revision > revision)
        return item.Page(events, self.revision, era=self.era)

    def _record_call(self, name):
        self.calls.append(name)
        if self.is_down:
            raise errors.StoreUnavailableError('down')

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = trio.Event()
