"""Keeps a mirror up to date with the store."""

import dataclasses

import trio

from savorycross import errors
from savorycross.forward import backoff

# The store answers a watch when its wait time is over; a watch that is silent
# for this much longer is dead.
WATCH_GRACE_S = 1.0
# Each second watch after one that failed may be silent for longer: the store
# may be slow.
SLOW_WATCH_GRACE_S = 3.0
# Part of the time bound on a change that is left for it to arrive and be
# applied.
APPLY_MARGIN_S = 0.5
MIN_WAIT_S = 1.0
# The first watch after an interruption returns at once, to tell whether the
# store still has the history that the next one continues.
CATCH_UP_WAIT_S = 0.001
MAX_WAIT_S = 20.0
# Pauses between watches let one call read several changes. The pause of each
# instance grows with the number of those that watch, up to this share of the
# time in which changes are due.
MIN_PAUSE_S = 0.3
MAX_PAUSE_SHARE = 0.4
PAUSE_PER_WATCHER_S = 0.07
# Entries that expired in an outage are written again within seconds of its
# end. For this long, pauses are short while services lack targets.
URGENT_PERIOD_S = 6.0
# How often an instance that need not watch checks whether it has to.
DUTY_CHECK_INTERVAL_S = 0.2
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Holds the durations that a Follower waits.

    :param wait_s: seconds for which a watch waits for changes.
    :param max_pause_s: longest pause between two watches in seconds.
    """

    wait_s: float
    max_pause_s: float


def make_timing(recovery_s, change_deadline_s):
    """Return the Timing that meets the bounds on changes.

    A watch that the store accepted during an outage may stay silent for
    ever. It must end before the first change is due to which the bounds
    apply again.

    :param recovery_s: seconds after an outage from which bounds apply.
    :param change_deadline_s: seconds in which a change must be in force.
    """
    pause_s = max(MIN_PAUSE_S, MAX_PAUSE_SHARE * change_deadline_s)
    longest_s = (
        recovery_s
        + change_deadline_s
        - WATCH_GRACE_S
        - pause_s
        - APPLY_MARGIN_S
    )
    wait_s = min(max(longest_s, MIN_WAIT_S), MAX_WAIT_S)
    return Timing(wait_s, pause_s)


@dataclasses.dataclass(slots=True)
class _Listing:
    """How far a listing has come.

    :param revision: the store's Revision that the first page shows.
    :param sent_at: time at which the first page was asked for.
    :param began_at: the same by the runtime clock.
    :param after: key after which the next page begins.
    """

    revision: object = None
    sent_at: float = 0.0
    began_at: float = 0.0
    after: str = ''
    has_more: bool = True
    keys: set = dataclasses.field(default_factory=set)

    def add(self, page):
        """Note that a page was read."""
        self.revision = self.revision or page.revision
        self.keys.update(item.key for item in page.items)
        self.has_more = page.has_more
        if page.has_more:
            self.after = page.items[-1].key


class Follower:
    """Lists the store's items, then watches for changes to them.

    ``is_connected`` tells whether the store answered the latest call,
    ``is_watching`` whether a watch is waiting for changes.

    :param store: ItemStore.
    :param mirror: Mirror.
    :param log: EventLog.
    :param timing: Timing.
    :param on_synced: called after each complete listing and each answered
        watch.
    :param count_watchers: callable that returns the number of instances
        that watch.
    :param has_missing_targets: callable that returns whether targets are
        missing without which requests fail.
    :param is_on_duty: callable that takes the time and returns whether this
        instance is to watch; otherwise its mirror is updated from peers.
    :param on_listed: called after each complete listing with the time at
        which it began.
    :param read_clock: callable that returns that time.
    """

    def __init__(
        self,
        store,
        mirror,
        log,
        timing,
        on_synced=lambda: None,
        count_watchers=lambda: 1,
        has_missing_targets=lambda: False,
        is_on_duty=lambda now: True,
        on_listed=lambda sent_at: None,
        read_clock=trio.current_time,
    ):
        self._store = store
        self._mirror = mirror
        self._log = log
        self._timing = timing
        self._on_synced = on_synced
        self._count_watchers = count_watchers
        self._has_missing_targets = has_missing_targets
        self._is_on_duty = is_on_duty
        self._on_listed = on_listed
        self._read_clock = read_clock
        self._urgent_until = 0.0
        self._scope = trio.CancelScope()
        self._listing = None
        self._failed_at = None
        # Failures and lost histories since a watch was answered.
        self._failures = 0
        self._histories_gone = 0
        self.is_connected = False
        self.is_watching = False

    def restart(self):
        """Cancel the waiting call, which may be dead, and call again."""
        self._scope.cancel()

    async def run(self):
        """Follow the store until cancelled."""
        self._urgent_until = trio.current_time() + URGENT_PERIOD_S
        while True:
            try:
                if not await self._follow():
                    self._log.event('store.watch_restarted')
            except errors.HistoryGoneError:
                self._log.event('store.history_gone')
                self._mirror.is_complete = False
                self._listing = None
                if self._histories_gone:
                    await trio.sleep(_retry_delay_s(self._histories_gone))
                self._histories_gone += 1
            except errors.StoreUnavailableError as exc:
                self.note_failure(exc)
                await trio.sleep(_retry_delay_s(self._failures))
                self._failures += 1

    async def _follow(self):
        """List if needed, then watch until ``restart`` is called.

        :returns: False.
        """
        with trio.CancelScope() as self._scope:
            wait_s = CATCH_UP_WAIT_S
            while True:
                if not self._mirror.is_complete:
                    await self._list()
                self._listing = None
                if self._is_on_duty(trio.current_time()):
                    await self._watch(wait_s)
                    wait_s = self._timing.wait_s
                else:
                    wait_s = CATCH_UP_WAIT_S
                    await trio.sleep(DUTY_CHECK_INTERVAL_S)
        return False

    async def _list(self):
        """List all items, from the page on that failed the last time.

        Changes since the first page come with the watch, however long ago
        that was.
        """
        if self._listing is None:
            self._listing = _Listing()
        listing = self._listing
        while listing.has_more:
            if listing.revision is None:
                listing.sent_at = self._read_clock()
                listing.began_at = trio.current_time()
            page = await self._store.read_page(listing.after)
            self.note_answer()
            first_revision = listing.revision or page.revision
            self._check_era(page, first_revision)
            self._check_era(page, max(first_revision, self._mirror.revision))
            self._apply(page.items)
            listing.add(page)
        keys, first_revision = listing.keys, listing.revision
        known_revision = self._mirror.revision
        self._mirror.retain(keys, first_revision, trio.current_time())
        self._mirror.revision = max(first_revision, self._mirror.revision)
        self._mirror.is_complete = True
        self._mirror.note_current(listing.began_at)
        self._on_listed(listing.sent_at)
        self._on_synced()
        was_restored = 0 < known_revision.era < first_revision.era
        self._log.event(
            'store.restored' if was_restored else 'store.listed',
            items=len(keys),
            revision=first_revision,
            known_revision=known_revision,
        )

    async def _watch(self, wait_s):
        self.is_watching = True
        grace_s = SLOW_WATCH_GRACE_S if self._failures % 2 else WATCH_GRACE_S
        sent_at = trio.current_time()
        try:
            with trio.move_on_after(wait_s + grace_s) as scope:
                page = await self._store.watch(self._mirror.revision, wait_s)
        finally:
            self.is_watching = False
        if scope.cancelled_caught:
            raise errors.StoreUnavailableError('watch stayed silent')
        self._failures = 0
        self._histories_gone = 0
        self.note_answer()
        self._check_era(page, self._mirror.revision)
        self._apply(page.items)
        self._mirror.revision = max(page.revision, self._mirror.revision)
        # An answer that took longer would have been too late.
        answered_at = trio.current_time() - WATCH_GRACE_S
        self._mirror.note_current(max(sent_at, answered_at))
        self._on_synced()
        if page.items:
            await trio.sleep(self._pause_s())

    def _check_era(self, page, known):
        """Refuse a page that does not continue the history up to a Revision.

        :raises HistoryGoneError: if the store was restored since.
        :raises StoreUnavailableError: if the page is of an earlier era.
        """
        era = page.revision.era
        if era > known.era:
            raise errors.HistoryGoneError(f'era {era} began after {known}')
        if era < known.era:
            raise errors.StoreUnavailableError(
                f'reply of era {era}, though {known} was seen'
            )

    def _pause_s(self):
        """Return the seconds to pause so that changes gather in the store."""
        if (
            trio.current_time() < self._urgent_until
            and self._has_missing_targets()
        ):
            return MIN_PAUSE_S
        pause_s = max(
            MIN_PAUSE_S, self._count_watchers() * PAUSE_PER_WATCHER_S
        )
        return min(pause_s, self._timing.max_pause_s)

    def _apply(self, items):
        now = trio.current_time()
        for item in items:
            self._mirror.apply(item, now)

    def note_answer(self):
        """Note that the store has answered a call of this instance."""
        self.is_connected = True
        if self._failed_at is None:
            return
        now = trio.current_time()
        self._urgent_until = now + URGENT_PERIOD_S
        self._mirror.hold_removals(now)
        self._log.event('store.regained', after_s=now - self._failed_at)
        self._failed_at = None

    def note_failure(self, exc):
        """Note that the store did not answer a call of this instance.

        :param exc: StoreUnavailableError.
        """
        now = trio.current_time()
        self.is_connected = False
        self._mirror.hold_removals(now)
        if self._failed_at is None:
            self._failed_at = now
            self._log.event('store.lost', reason=str(exc))


def _retry_delay_s(n):
    return backoff.exponential(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S, n)
