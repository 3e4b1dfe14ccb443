"""Idempotency keys of callers, each bound to one ticket in the store."""

import collections
import dataclasses
import hashlib

import trio

from savorycross.booking import ledger
from savorycross import errors

KEY_TTL_S = 24 * 3600.0
READ_BACK_PAUSE_S = 0.1
# How often an instance that has bound keys looks whether the store was
# restored.
RESTORE_CHECK_INTERVAL_S = 3.0
# After a restore, all instances write the keys again that they have bound.
# Until then, a key that the store lacks may be bound to a ticket.
REWRITE_PERIOD_S = 6.0
# For longer than this, instances do not know the outcome of a ticket.
REMEMBERED_S = ledger.RETENTION_S
MAX_REMEMBERED = ledger.MAX_ENTRIES


@dataclasses.dataclass(frozen=True, slots=True)
class _Binding:
    """A ticket that this instance has seen bound to a key.

    :param bound_at: runtime clock, seconds.
    """

    ticket: str
    bound_at: float


class IdempotencyKeys:
    """Binds idempotency keys to tickets by compare-and-swap.

    A store that is restored from an older copy has lost the latest bindings.
    Each instance remembers those that it has seen, and writes them again.

    :param store: Store.
    """

    def __init__(self, store):
        self._store = store
        self._bindings = collections.OrderedDict()
        self._era = 0
        # Era of which the store has all bindings of this instance.
        self._rewritten_era = 0
        self._restored_at = float('-inf')

    async def claim(self, workload, key, ticket):
        """Return the ticket bound to a key; bind a ticket if there is none.

        :param workload: name of the workload.
        :param key: idempotency key of a caller.
        :param ticket: ticket to bind, as text.
        :raises BookingNotRunError: if no ticket is bound after a write with
            unknown effect, or if another instance may have bound one that
            the store has lost; no booking was run under ``ticket``.
        """
        store_key = _make_store_key(workload, key)
        try:
            bound = await self._claim(store_key, ticket)
        except errors.StoreConflictError:
            bound = await self._read_back(store_key)
        except errors.StoreUnavailableError:
            bound = await self._read_back(store_key)
        self._remember(store_key, bound)
        return bound

    async def run(self):
        """Write bindings again that a restored store has lost.

        Runs until cancelled.
        """
        while True:
            self._note_era()
            await trio.sleep(RESTORE_CHECK_INTERVAL_S)
            self._forget_old()
            if not self._bindings:
                continue
            try:
                await self._get(next(reversed(self._bindings)))
                if self._rewritten_era < self._era:
                    await self._rewrite()
            except errors.StoreUnavailableError:
                continue

    async def _claim(self, store_key, ticket):
        entry = await self._get(store_key)
        if entry.revision:
            return entry.value.decode()
        known = self._bindings.get(store_key)
        if known is not None:
            ticket = known.ticket
        elif trio.current_time() < self._restored_at + REWRITE_PERIOD_S:
            raise errors.BookingNotRunError(
                'the store was restored; keys are being written again'
            )
        await self._store.put(store_key, ticket.encode(), 0, KEY_TTL_S)
        return ticket

    async def _get(self, store_key):
        """Return the Entry of a key, and note the store's era."""
        entry = await self._store.get(store_key)
        self._note_era()
        return entry

    def _note_era(self):
        """Note whether the store has been restored.

        Other calls of this instance may have seen it first.
        """
        era = self._store.era
        if not self._era:
            self._rewritten_era = era
        elif self._era < era:
            self._restored_at = trio.current_time()
        self._era = era

    async def _rewrite(self):
        era = self._era
        for store_key, binding in list(self._bindings.items()):
            try:
                await self._store.put(
                    store_key, binding.ticket.encode(), 0, KEY_TTL_S
                )
            except errors.StoreConflictError:
                # The store still has it.
                continue
        self._rewritten_era = era

    def _remember(self, store_key, ticket):
        self._bindings[store_key] = _Binding(ticket, trio.current_time())
        self._bindings.move_to_end(store_key)
        if len(self._bindings) > MAX_REMEMBERED:
            self._bindings.popitem(last=False)

    def _forget_old(self):
        oldest_at = trio.current_time() - REMEMBERED_S
        while self._bindings:
            store_key = next(iter(self._bindings))
            if self._bindings[store_key].bound_at >= oldest_at:
                return
            del self._bindings[store_key]

    async def _read_back(self, store_key):
        """Return the bound ticket after a write with unknown effect.

        :raises BookingNotRunError: if no ticket is bound.
        """
        while True:
            try:
                entry = await self._get(store_key)
            except errors.StoreUnavailableError:
                await trio.sleep(READ_BACK_PAUSE_S)
                continue
            if entry.revision:
                return entry.value.decode()
            raise errors.BookingNotRunError(
                'the key could not be bound to a ticket in the store'
            )


def _make_store_key(workload, key):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'savorycross/claim/{workload}/{digest}'
