"""Idempotency keys of callers, each bound to one ticket in the store."""

import hashlib

import trio

from savorycross import errors

KEY_TTL_S = 24 * 3600.0
READ_BACK_PAUSE_S = 0.1


class IdempotencyKeys:
    """Binds idempotency keys to tickets by compare-and-swap.

    :param store: Store.
    """

    def __init__(self, store):
        self._store = store

    async def claim(self, workload, key, ticket):
        """Return the ticket bound to a key; bind a ticket if there is none.

        :param workload: name of the workload.
        :param key: idempotency key of a caller.
        :param ticket: ticket to bind, as text.
        :raises BookingNotRunError: if no ticket is bound after a write with
            unknown effect; no booking was run under ``ticket``.
        """
        store_key = _make_store_key(workload, key)
        try:
            entry = await self._store.get(store_key)
            if entry.revision:
                return entry.value.decode()
            await self._store.put(store_key, ticket.encode(), 0, KEY_TTL_S)
            return ticket
        except errors.StoreConflictError:
            return await self._read_back(store_key)
        except errors.StoreUnavailableError:
            return await self._read_back(store_key)

    async def _read_back(self, store_key):
        """Return the bound ticket after a write with unknown effect.

        :raises BookingNotRunError: if no ticket is bound.
        """
        while True:
            try:
                entry = await self._store.get(store_key)
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
