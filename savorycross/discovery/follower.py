"""Keeps a mirror up to date with the store."""

import dataclasses

import trio

from savorycross import errors

# A watch is answered after its waiting time; this much later it is dead.
WATCH_GRACE_S = 1.0
# What is left for a change to arrive and be taken.
SPARE_S = 0.5
SHORTEST_WAIT_S = 1.0
LONGEST_WAIT_S = 20.0
# Changes that come close together are read with one call. The store's
# rates grow more slowly than the number of instances, so many instances
# read less often each, up to this share of the time in which changes are due.
COALESCE_S = 0.3
COALESCE_SHARE = 0.4
COALESCE_PER_INSTANCE_S = 0.07
# Entries that lapsed in an outage are written again within seconds of its
# end; for so long services without a target are looked for more often.
URGENT_S = 6.0
RETRY_FIRST_S = 0.2
RETRY_MOST_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How long a follower waits.

    :param wait_s: seconds for which a watch waits for changes.
    :param pause_most_s: most seconds between two watches.
    """

    wait_s: float
    pause_most_s: float


def make_timing(settled_s, applied_s):
    """Return the Timing for the bounds on changes.

    A watch that the store took during an outage may stay silent for good.
    It must end before the first change is due that counts again.

    :param settled_s: time after an outage from which changes count.
    :param applied_s: time in which a change must be in force.
    """
    pause_s = max(COALESCE_S, COALESCE_SHARE * applied_s)
    found = settled_s + applied_s - WATCH_GRACE_S - pause_s - SPARE_S
    wait_s = min(max(found, SHORTEST_WAIT_S), LONGEST_WAIT_S)
    return Timing(wait_s, pause_s)


class Follower:
    """Lists the store's items once, then watches for changes.

    ``is_connected`` tells whether the store answered the latest call,
    ``is_watching`` whether a watch waits for changes now.

    :param store: ItemStore.
    :param mirror: Mirror.
    :param log: EventLog.
    :param timing: Timing.
    :param on_synced: called after each answer.
    :param count: callable that returns the number of instances.
    :param is_lacking: callable that tells whether something is still
        missing without which requests fail.
    """

    def __init__(
        self,
        store,
        mirror,
        log,
        timing,
        on_synced=lambda: None,
        count=lambda: 1,
        is_lacking=lambda: False,
    ):
        self._store = store
        self._mirror = mirror
        self._log = log
        self._timing = timing
        self._on_synced = on_synced
        self._count = count
        self._is_lacking = is_lacking
        self._urgent_until = 0.0
        self._scope = trio.CancelScope()
        self._failed_at = None
        self.is_connected = False
        self.is_watching = False

    def restart(self):
        """Ask again at once, as the waiting call may be dead."""
        self._scope.cancel()

    async def run(self):
        """Follow the store until cancelled."""
        pause = RETRY_FIRST_S
        self._urgent_until = trio.current_time() + URGENT_S
        while True:
            try:
                if not await self._follow():
                    self._log.event('store.watch_restarted')
                pause = RETRY_FIRST_S
            except errors.HistoryGoneError:
                self._log.event('store.history_gone')
                self._mirror.is_complete = False
            except errors.StoreUnavailableError as exc:
                self._note_failure(exc)
                await trio.sleep(pause)
                pause = min(pause * 2, RETRY_MOST_S)

    async def _follow(self):
        """Follow; return False if the call was cut by ``restart``."""
        with trio.CancelScope() as self._scope:
            if not self._mirror.is_complete:
                await self._list()
            while True:
                await self._watch()
        return False

    async def _list(self):
        keys = set()
        after = ''
        first = None
        while True:
            page = await self._store.read_page(after)
            self._note_answer()
            if first is None:
                first = page.revision
            self._take(page.items)
            keys.update(item.key for item in page.items)
            if not page.has_more:
                break
            after = page.items[-1].key
        self._mirror.retain(keys, trio.current_time())
        self._mirror.revision = max(first, self._mirror.revision)
        self._mirror.is_complete = True
        self._on_synced()
        self._log.event('store.listed', items=len(keys), revision=first)

    async def _watch(self):
        wait_s = self._timing.wait_s
        self.is_watching = True
        try:
            with trio.move_on_after(wait_s + WATCH_GRACE_S) as scope:
                page = await self._store.watch(self._mirror.revision, wait_s)
        finally:
            self.is_watching = False
        if scope.cancelled_caught:
            raise errors.StoreUnavailableError('watch stayed silent')
        self._note_answer()
        self._take(page.items)
        self._mirror.revision = max(page.revision, self._mirror.revision)
        self._on_synced()
        if page.items:
            await trio.sleep(self._pause_s())

    def _pause_s(self):
        """Return for how long changes are left to gather in the store."""
        if trio.current_time() < self._urgent_until and self._is_lacking():
            return COALESCE_S
        found = max(COALESCE_S, self._count() * COALESCE_PER_INSTANCE_S)
        return min(found, self._timing.pause_most_s)

    def _take(self, items):
        now = trio.current_time()
        for item in items:
            self._mirror.apply(item, now)

    def _note_answer(self):
        self.is_connected = True
        if self._failed_at is None:
            return
        now = trio.current_time()
        self._urgent_until = now + URGENT_S
        self._mirror.note_outage(now)
        self._log.event('store.regained', after_s=now - self._failed_at)
        self._failed_at = None

    def _note_failure(self, exc):
        now = trio.current_time()
        self.is_connected = False
        self._mirror.note_outage(now)
        if self._failed_at is None:
            self._failed_at = now
            self._log.event('store.lost', reason=str(exc))
