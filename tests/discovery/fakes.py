"""A fake of the store, and revisions for tests."""

import dataclasses

import trio

from savorycross.discovery import item
from savorycross import errors


def at(number, era=1):
    """Return a Revision, of the first era unless another one is given."""
    return item.Revision(era, number)


class FakeStore:
    """Holds items; can be unavailable, restored, and can drop its history.

    ``is_down`` makes all calls fail, ``is_silent`` makes all hang that need
    no listing;
    without ``has_history``, all watches fail. Answers come after
    ``delay_s`` seconds.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.is_down = False
        self.is_silent = False
        self.has_history = True
        self.delay_s = 0.0
        self.era = 1
        self.page_size = 1000
        self.oldest_revision = 0
        self.calls = []
        self._events = []
        self._changed = trio.Event()

    def put_value(self, key, value):
        """Write a key."""
        self.revision += 1
        self.items[key] = item.Item(key, self._now, value)
        self._add_event(self.items[key])

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._add_event(item.Item(key, self._now, removed=True))

    def drop_history(self):
        """Drop all changes, so that older watches fail."""
        self.oldest_revision = self.revision
        self._events.clear()

    def make_copy(self):
        """Return a copy of all items for ``restore``."""
        return self.revision, dict(self.items)

    def restore(self, copy):
        """Return to a copy, and begin a new era."""
        self.era += 1
        self.revision, stored = copy
        self.items = {
            key: dataclasses.replace(
                stored[key], revision=at(stored[key].revision.number, self.era)
            )
            for key in stored
        }
        self._events = [
            dataclasses.replace(e, revision=at(e.revision.number, self.era))
            for e in self._events
            if e.revision.number <= self.revision
        ]
        self._changed.set()
        self._changed = trio.Event()

    @property
    def _now(self):
        return at(self.revision, self.era)

    async def read_page(self, after):
        """Return the items of a page, in the order of their keys."""
        self._record_call('list')
        await trio.lowlevel.checkpoint()
        following = sorted(k for k in self.items if k > after)
        listed = tuple(self.items[k] for k in following[: self.page_size])
        return item.Page(listed, self._now, len(following) > len(listed))

    async def watch(self, revision, wait_s):
        """Return changes after a revision."""
        self._record_call('watch')
        is_known = self.oldest_revision <= revision.number <= self.revision
        if not is_known or not self.has_history:
            await trio.sleep(0.004)
            raise errors.HistoryGoneError(f'{revision}')
        if self.is_silent:
            await trio.sleep_forever()
        era = self.era
        with trio.move_on_after(wait_s):
            while self.revision <= revision.number:
                await self._changed.wait()
                if self.era != era:
                    raise errors.StoreUnavailableError('restored')
                self._record_call('watch')
        events = tuple(
            e for e in self._events if e.revision.number > revision.number
        )
        if self.delay_s:
            await trio.sleep(self.delay_s)
        return item.Page(events, self._now)

    async def read_key(self, key):
        """Return a key as it is now."""
        self._record_call('read')
        found = tuple(i for i in self.items.values() if i.key == key)
        return await self._answer(item.Page(found, self._now))

    async def read_changes(self, key, revision):
        """Return the changes of a key after a revision."""
        self._record_call('changes')
        if not self.oldest_revision <= revision.number <= self.revision:
            raise errors.HistoryGoneError(f'{revision}')
        events = tuple(
            e
            for e in self._events
            if e.key == key and e.revision.number > revision.number
        )
        return await self._answer(item.Page(events, self._now))

    async def _answer(self, page):
        if self.is_silent:
            await trio.sleep_forever()
        await trio.sleep(self.delay_s)
        return page

    def _record_call(self, name):
        self.calls.append(name)
        if self.is_down:
            raise errors.StoreUnavailableError('down')

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = trio.Event()
