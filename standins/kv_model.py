"""A model of the platform's metadata store."""

import base64
import dataclasses

import trio

HISTORY_EVENTS = 5000


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    rev: int
    create_rev: int
    lease: int = 0


class KvModel:
    """Keys with revisions, leases and a history of changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self._leases = {}
        self._events = []
        self._oldest = 0
        self._next_lease = 1
        self._changed = trio.Event()

    def put(self, key, value, lease=0):
        """Write a key and return the revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known.create_rev if known else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._note(self.describe(key))
        return self.revision

    def remove(self, key):
        """Remove a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({'key': key, 'rev': self.revision, 'removed': True})

    def compact(self):
        """Forget the history."""
        self._oldest = self.revision
        self._events.clear()

    def describe(self, key):
        """Return an item as the wire shows it."""
        found = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(found.value).decode(),
            'rev': found.rev,
            'create_rev': found.create_rev,
            'lease': found.lease,
        }

    def open_lease(self, ttl_s, now):
        """Return the id of a new lease."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (now + ttl_s, ttl_s)
        return lease

    def renew_lease(self, lease, now):
        """Renew a lease; return False if it has ended."""
        self.expire(now)
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (now + ttl_s, ttl_s)
        return True

    def end_lease(self, lease):
        """End a lease; return False if it had ended."""
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)
        return True

    def has_lease(self, lease):
        """Tell whether a lease is in force."""
        return lease == 0 or lease in self._leases

    def expire(self, now):
        """End the leases whose time is over."""
        for lease, (until, _) in list(self._leases.items()):
            if until <= now:
                self.end_lease(lease)

    async def watch(self, after, wait_s):
        """Return the events after a revision, or None if forgotten."""
        if after < self._oldest:
            return None
        with trio.move_on_after(wait_s):
            while self.revision <= after:
                await self._changed.wait()
        if after < self._oldest:
            return None
        return [e for e in self._events if e['rev'] > after]

    def _note(self, event):
        self._events.append(event)
        if len(self._events) > HISTORY_EVENTS:
            self._oldest = self._events.pop(0)['rev']
        self._changed.set()
        self._changed = trio.Event()
