"""Announces this instance in the store, so that new ones find it."""

import trio

from savorycross import errors
from savorycross.fleet import heartbeat

LEASE_TTL_S = 12.0
RENEW_INTERVAL_S = 4.0
RETRY_S = 1.0


class Announcer:
    """Keeps a key with a lease.

    :param store: ItemStore.
    :param key: the key.
    :param own: this instance's Peer.
    :param log: EventLog.
    """

    def __init__(self, store, key, own, log):
        self._store = store
        self._key = key
        self._value = heartbeat.encode_peer(own)
        self._log = log
        self._lease = None
        self._is_written = False

    def rewrite_key(self):
        """Write the key again, as it is gone while this instance lives."""
        self._is_written = False

    async def run(self):
        """Keep the key until cancelled."""
        while True:
            try:
                await self._keep()
                await trio.sleep(RENEW_INTERVAL_S)
            except errors.LeaseEndedError:
                self._lease = None
                self._is_written = False
                self._log.event('announcement.lapsed')
                await trio.sleep(RETRY_S)
            except errors.StoreUnavailableError:
                # The follower logs the store's state.
                await trio.sleep(RETRY_S)

    async def withdraw(self):
        """Remove the key."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.end_lease(lease)
        except (errors.StoreUnavailableError, errors.LeaseEndedError) as exc:
            self._log.event('announcement.not_withdrawn', reason=str(exc))

    async def _keep(self):
        if self._lease is None:
            self._lease = await self._store.open_lease(LEASE_TTL_S)
            self._is_written = False
        elif self._is_written:
            await self._store.renew_lease(self._lease)
        if not self._is_written:
            await self._store.put(self._key, self._value, self._lease)
            self._is_written = True
