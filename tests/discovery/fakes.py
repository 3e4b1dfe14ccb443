"""A store whose answers a test prepares."""

import trio

from savorycross.discovery import item
from savorycross import errors


class FakeStore:
    """Holds items; can be down, and can forget its history."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.is_down = False
        self.is_silent = False
        self.oldest = 0
        self.calls = []
        self._events = []
        self._changed = trio.Event()

    def put_value(self, key, value):
        """Write a key."""
        self.revision += 1
        self.items[key] = item.Item(key, self.revision, value)
        self._note(self.items[key])

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._note(item.Item(key, self.revision, removed=True))

    def forget(self):
        """Drop the history."""
        self.oldest = self.revision
        self._events.clear()

    async def read_page(self, after):
        """Return all items."""
        self._check('list')
        await trio.lowlevel.checkpoint()
        return item.Page(tuple(self.items.values()), self.revision)

    async def watch(self, revision, wait_s):
        """Return changes after a revision."""
        self._check('watch')
        if revision < self.oldest:
            raise errors.HistoryGoneError(f'revision {revision}')
        if self.is_silent:
            await trio.sleep_forever()
        with trio.move_on_after(wait_s):
            while self.revision <= revision:
                await self._changed.wait()
                self._check('watch')
        found = tuple(e for e in self._events if e.revision > revision)
        return item.Page(found, self.revision)

    def _check(self, name):
        self.calls.append(name)
        if self.is_down:
            raise errors.StoreUnavailableError('down')

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = trio.Event()
