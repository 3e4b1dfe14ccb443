"""A model of the platform's metadata store."""

import base64
import copy
import dataclasses

import trio

MAX_HISTORY_EVENTS = 5000


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    rev: int
    create_rev: int
    lease: int = 0


class KvModel:
    """Keys with revisions, leases and a history of changes.

    ``era`` rises by one when the store is restored from an older copy.
    """

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.items = {}
        self._leases = {}
        self._events = []
        self._compacted_revision = 0
        self._next_lease = 1
        self._changed = trio.Event()

    def put(self, key, value, lease=0):
        """Write a key and return the new revision.

        :param lease: id of the lease that the key is bound to, or 0.
        """
        self.revision += 1
        current = self.items.get(key)
        create_revision = current.create_rev if current else self.revision
        self.items[key] = _Item(value, self.revision, create_revision, lease)
        self._append_event(self.describe(key))
        return self.revision

    def remove(self, key):
        """Remove a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._append_event({'key': key, 'rev': self.revision, 'removed': True})

    def compact(self):
        """Drop the history."""
        self._compacted_revision = self.revision
        self._events.clear()

    def make_copy(self):
        """Return a copy of keys, leases and revision for ``restore``."""
        return copy.deepcopy(
            (self.revision, self.items, self._leases, self._next_lease)
        )

    def restore(self, older):
        """Return to a copy; later revisions and ids are given out again."""
        self.revision, self.items, self._leases, self._next_lease = (
            copy.deepcopy(older)
        )
        self.era += 1
        self._events = [e for e in self._events if e['rev'] <= self.revision]
        self._signal_change()

    def describe(self, key):
        """Return an item as the store's answers show it."""
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'rev': item.rev,
            'create_rev': item.create_rev,
            'lease': item.lease,
        }

    def open_lease(self, ttl_s, now):
        """Create a lease and return its id.

        :param ttl_s: time to live in seconds.
        :param now: clock time in seconds.
        """
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = (now + ttl_s, ttl_s)
        return lease_id

    def renew_lease(self, lease, now):
        """Renew a lease; return whether it was in force."""
        self.expire(now)
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (now + ttl_s, ttl_s)
        return True

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether it was in force."""
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)
        return True

    def has_lease(self, lease):
        """Return whether a lease is in force; lease 0 always is."""
        return lease == 0 or lease in self._leases

    def expire(self, now):
        """End the leases that have expired."""
        for lease, (expires_at, _) in list(self._leases.items()):
            if expires_at <= now:
                self.end_lease(lease)

    async def watch(self, after, wait_s):
        """Return the events after a revision, once there are any.

        :param after: revision.
        :param wait_s: limit in seconds.
        :returns: list of events, or None if the history no longer reaches
            back to the revision, or the store does not have it.
        """
        era = self.era
        with trio.move_on_after(wait_s):
            while self.revision == after and self.era == era:
                await self._changed.wait()
        if not self._compacted_revision <= after <= self.revision:
            return None
        return [e for e in self._events if e['rev'] > after]

    def _append_event(self, event):
        self._events.append(event)
        if len(self._events) > MAX_HISTORY_EVENTS:
            self._compacted_revision = self._events.pop(0)['rev']
        self._signal_change()

    def _signal_change(self):
        self._changed.set()
        self._changed = trio.Event()
