"""A model of the platform's key-value service that is also a Store."""

import collections
import copy
import dataclasses

import trio

from savorycross import errors
from savorycross.store import protocol


@dataclasses.dataclass
class Faults:
    """Faults that can be switched on.

    :param down: fail all calls without effect.
    :param slow_s: seconds added to each call.
    :param lose_writes: number of coming writes that take effect but whose
        answers are lost.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0


@dataclasses.dataclass
class _StoredValue:
    value: bytes
    revision: int
    expires_at: float | None = None


class PlatformModel:
    """Keys with revisions, leases and watches, and two lists that may lag.

    ``era`` rises by one when the store is restored from an older copy.

    :param latency_s: one-way delay of each call in seconds.
    """

    def __init__(self, latency_s=0.001):
        self.era = 1
        self.faults = Faults()
        self.calls = collections.Counter()
        self.listed = []
        self.leaving_targets = []
        self._latency_s = latency_s
        self._values = {}
        self._last_revision = 0
        self._changed = trio.Event()

    async def get(self, key):
        """Return the entry of a key, or ABSENT."""
        await self._receive_call('read')
        entry = self._entry(key)
        await self._send_answer()
        return entry

    async def put(self, key, value, revision, ttl=0):
        """Write a value if the key is at a revision.

        :param ttl: time to live in seconds; 0 if the key does not expire.
        :raises errors.StoreConflictError: if the key has another revision.
        """
        await self._receive_call('write')
        entry = self._entry(key)
        if entry.revision != revision:
            await self._send_answer()
            raise errors.StoreConflictError(f'key {key!r}')
        self._last_revision += 1
        expires_at = trio.current_time() + ttl if ttl else None
        self._values[key] = _StoredValue(
            value, self._last_revision, expires_at
        )
        self._changed.set()
        self._changed = trio.Event()
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            raise errors.StoreUnavailableError('answer lost')
        await self._send_answer()
        return self._entry(key)

    async def watch(self, key, revision, timeout):
        """Return the entry once its revision differs, or after a timeout."""
        await self._receive_call('watch')
        with trio.move_on_after(timeout):
            while self._entry(key).revision == revision:
                await self._changed.wait()
        await self._send_answer()
        return self._entry(key)

    async def instances(self):
        """Return the list of instances, which may lag."""
        await self._receive_call('read')
        await self._send_answer()
        return list(self.listed)

    async def targets_leaving(self):
        """Return the names of targets listed as leaving."""
        await self._receive_call('read')
        await self._send_answer()
        return frozenset(self.leaving_targets)

    def expire(self, prefix):
        """End the leases of all keys with a prefix at once."""
        for key, stored in list(self._values.items()):
            if key.startswith(prefix) and stored.expires_at is not None:
                del self._values[key]
        self._changed.set()
        self._changed = trio.Event()

    def make_copy(self):
        """Return a copy of all keys for ``restore``."""
        return self._last_revision, copy.deepcopy(self._values)

    def restore(self, older):
        """Return to a copy; later revisions are given out again."""
        self._last_revision, values = older
        self._values = copy.deepcopy(values)
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def _entry(self, key):
        stored = self._values.get(key)
        if stored is None:
            return protocol.ABSENT
        if (
            stored.expires_at is not None
            and trio.current_time() >= stored.expires_at
        ):
            del self._values[key]
            return protocol.ABSENT
        return protocol.Entry(stored.value, stored.revision)

    async def _receive_call(self, kind):
        self.calls[kind] += 1
        await trio.sleep(self._latency_s + self.faults.slow_s)
        self._raise_if_down()

    async def _send_answer(self):
        await trio.sleep(self._latency_s)
        self._raise_if_down()

    def _raise_if_down(self):
        if self.faults.down:
            raise errors.StoreUnavailableError('store is down')
