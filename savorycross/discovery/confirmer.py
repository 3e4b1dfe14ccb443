"""Confirms with the store that the configuration in force is the newest."""

import trio

from savorycross.discovery import item as items
from savorycross import errors

# How often it is checked whether a confirmation is due.
CHECK_INTERVAL_S = 0.2


class Confirmer:
    """Reads the store's newest configuration as often as keys need it.

    A read asks for the changes of the configuration's key since a revision
    at which the configuration is known, so that its answer is short. If the
    store does not continue the history of that revision, the configuration
    itself is read.

    Reads overlap, so that one without an answer delays no other.

    :param store: ItemStore with connections of its own, as reads without an
        answer hold them for seconds.
    :param key: key of the configuration.
    :param mirror: Mirror, which gets newer configurations.
    :param freshness: Freshness.
    :param log: EventLog.
    :param read_clock: callable that returns the time for ``freshness``.
    :param is_listed: callable that returns whether callers are told to use
        this instance.
    :param has_workspaces: callable that returns whether the configuration in
        force has workspaces.
    :param on_applied: called after a newer configuration was applied.
    """

    def __init__(
        self,
        store,
        key,
        mirror,
        freshness,
        log,
        read_clock,
        is_listed,
        has_workspaces,
        on_applied,
    ):
        self._store = store
        self._key = key
        self._mirror = mirror
        self._freshness = freshness
        self._log = log
        self._read_clock = read_clock
        self._is_listed = is_listed
        self._has_workspaces = has_workspaces
        self._on_applied = on_applied
        # Revision at which the configuration is known.
        self._known = items.NO_REVISION
        self._asked = trio.Event()
        self._was_overdue = False
        self._failure = ''

    def ask(self):
        """Confirm soon, as a request with a key waits for it."""
        self._asked.set()

    async def run(self):
        """Confirm when it is due until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(CHECK_INTERVAL_S):
                    await self._asked.wait()
                self._asked = trio.Event()
                if not self._has_workspaces():
                    continue
                now = self._read_clock()
                if self._is_listed():
                    self._freshness.want(now)
                if self._freshness.is_due(now):
                    self._freshness.note_sent(now)
                    nursery.start_soon(self._confirm, now)
                self._log_state(now)

    async def _confirm(self, sent_at):
        """Confirm once.

        :param sent_at: time before which nothing of this has happened.
        """
        try:
            with trio.move_on_after(self._freshness.timeout_s) as scope:
                await self._read(sent_at)
            if scope.cancelled_caught:
                raise errors.StoreUnavailableError('no answer in time')
        except (errors.StoreUnavailableError, errors.HistoryGoneError) as exc:
            self._failure = str(exc)
            self._freshness.note_failure(sent_at, self._read_clock())

    async def _read(self, sent_at):
        known = self._known
        if self._mirror.is_complete:
            known = max(known, self._mirror.revision)
        page = await self._read_changes(known)
        if page is None:
            sent_at = self._read_clock()
            page = await self._store.read_key(self._key)
        if page.revision.era < max(self._known, self._mirror.revision).era:
            raise errors.StoreUnavailableError(
                f'answer of era {page.revision.era}, which has ended'
            )
        now = trio.current_time()
        for item in page.items:
            self._mirror.apply(item, now)
        self._known = max(self._known, page.revision)
        self._freshness.confirm(sent_at)
        if page.items:
            self._on_applied()

    async def _read_changes(self, known):
        """Return the Page of changes since a Revision.

        :returns: None if the store does not continue its history.
        """
        if known == items.NO_REVISION:
            return None
        try:
            page = await self._store.read_changes(self._key, known)
        except errors.HistoryGoneError:
            return None
        return page if page.revision.era == known.era else None

    def _log_state(self, now):
        """Log whether keys may be judged, when that changes."""
        is_overdue = self._freshness.is_overdue(now)
        if is_overdue == self._was_overdue:
            return
        self._was_overdue = is_overdue
        if is_overdue:
            self._log.event('keys.unconfirmed', reason=self._failure)
        elif self._freshness.is_fresh(now):
            self._log.event('keys.confirmed')
