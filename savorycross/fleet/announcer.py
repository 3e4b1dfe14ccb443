"""Announces this instance in the store, where new instances find it."""

import trio

from savorycross import errors
from savorycross.fleet import heartbeat
from savorycross.forward import backoff

LEASE_TTL_S = 24.0
RENEW_INTERVAL_S = 8.0
RETRY_INTERVAL_S = 1.0
MAX_RETRY_INTERVAL_S = 4.0


class Announcer:
    """Keeps a key in the store under a lease that it renews.

    :param store: ItemStore.
    :param key: name of the key.
    :param own: this instance's Peer, the value of the key.
    :param log: EventLog.
    :param on_answer: called when the store has renewed the lease, with the
        runtime clock time at which it was asked to.
    :param on_failure: called with the StoreUnavailableError when it has not.
    """

    def __init__(
        self,
        store,
        key,
        own,
        log,
        on_answer=lambda sent_at: None,
        on_failure=lambda exc: None,
    ):
        self._store = store
        self._key = key
        self._value = heartbeat.encode_peer(own)
        self._log = log
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._lease = None
        self._is_key_written = False
        self._is_withdrawn = False
        self._wake = trio.Event()

    def rewrite_key(self):
        """Write the key again, as the store lost it."""
        self._is_key_written = False
        self._wake.set()

    def note_era(self, era):
        """Announce the instance anew if the store is in a later era.

        The lease is not ended: the id may be that of another instance now.

        :param era: era in which this instance has seen the store.
        """
        if self._lease is None or era <= self._lease.era:
            return
        self._lease = None
        self._wake.set()

    async def run(self):
        """Write the key and renew its lease until it is withdrawn."""
        failures = 0
        while not self._is_withdrawn:
            try:
                # As the store may have renewed the lease right after that.
                sent_at = trio.current_time()
                await self._keep_key()
                failures = 0
                self._on_answer(sent_at)
                await self._wait_for_renewal()
            except errors.LeaseEndedError:
                self._lease = None
                self._is_key_written = False
                self._log.event('announcement.lapsed')
                await trio.sleep(RETRY_INTERVAL_S)
            except errors.StoreUnavailableError as exc:
                self._on_failure(exc)
                delay_s = backoff.exponential(
                    RETRY_INTERVAL_S, MAX_RETRY_INTERVAL_S, failures
                )
                failures += 1
                await trio.sleep(delay_s)
        # The lease may have been opened while it was withdrawn.
        await self._end_lease()
        await trio.sleep_forever()

    async def _wait_for_renewal(self):
        """Wait until the lease is to be renewed, or the key written again."""
        with trio.move_on_after(RENEW_INTERVAL_S):
            await self._wake.wait()
        if self._wake.is_set():
            self._wake = trio.Event()

    async def withdraw(self):
        """End the lease, which removes the key, and open no other."""
        self._is_withdrawn = True
        self._wake.set()
        await self._end_lease()

    async def _end_lease(self):
        """End the lease, unless another call of this does so."""
        lease, self._lease = self._lease, None
        failures = 0
        while lease is not None:
            try:
                await self._store.end_lease(lease)
                return
            except errors.LeaseEndedError:
                return
            except errors.StoreUnavailableError as exc:
                self._log.event('announcement.not_withdrawn', reason=str(exc))
                delay_s = backoff.exponential(
                    RETRY_INTERVAL_S, MAX_RETRY_INTERVAL_S, failures
                )
                failures += 1
                await trio.sleep(delay_s)

    async def _keep_key(self):
        if self._lease is None:
            self._lease = await self._store.open_lease(LEASE_TTL_S)
            self._is_key_written = False
        else:
            await self._store.renew_lease(self._lease)
        if not self._is_key_written and not self._is_withdrawn:
            await self._store.put(self._key, self._value, self._lease)
            self._is_key_written = True
