"""Claims: a caller's own key bound to one ticket in the store."""

import hashlib

import trio

from savorycross import errors

CLAIM_TTL_S = 24 * 3600.0
READ_BACK_PAUSE_S = 0.1


class IdempotencyKeys:
    """Binds keys to tickets by compare-and-swap.

    :param store: Store.
    """

    def __init__(self, store):
        self._store = store

    async def claim(self, workload, key, ticket):
        """Return the ticket bound to a key, this one if there was none.

        :raises BookingNotRunError: if the store does not say which ticket
            is bound; nothing was run.
        """
        name = _claim_key(workload, key)
        try:
            found = await self._store.get(name)
            if found.revision:
                return found.value.decode()
            await self._store.put(name, ticket.encode(), 0, CLAIM_TTL_S)
            return ticket
        except errors.StoreConflictError:
            return await self._read_back(name)
        except errors.StoreUnavailableError:
            return await self._read_back(name)

    async def _read_back(self, name):
        """Return the bound ticket after a write with unknown effect."""
        while True:
            try:
                found = await self._store.get(name)
            except errors.StoreUnavailableError:
                await trio.sleep(READ_BACK_PAUSE_S)
                continue
            if found.revision:
                return found.value.decode()
            raise errors.BookingNotRunError(
                'the key could not be claimed in the store'
            )


def _claim_key(workload, key):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'savorycross/claim/{workload}/{digest}'
