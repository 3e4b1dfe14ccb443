"""A mirror under any order of listings, watches, snapshots and outages."""

import dataclasses
from unittest import mock

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from savorycross.discovery import item
from savorycross.discovery import mirror
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_state
from tests.fleet import test_peer_registry
from tests import null_log

KEYS = ('a', 'b')


class MirrorMachine(stateful.RuleBasedStateMachine):
    """A store, a peer that follows it, and the mirror under test.

    ``notified`` holds the values that the callback received, by key.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.era = 1
        self.history = []
        self.writes = 0
        self.stored = {}
        self.copies = []
        self.peer = mirror.Mirror(lambda key, changed: None)
        self.notified = {}
        self.newest = {}
        self.outdated = []
        self.mirror = mirror.Mirror(self._on_change)
        self.synchronizer = mirror_sync.MirrorSynchronizer(
            self.mirror,
            None,
            None,
            None,
            null_log.NullLog(),
            lambda: None,
            None,
        )

    @property
    def revision(self):
        """Return the Revision of the store."""
        return self._at(len(self.history))

    def _at(self, number):
        return item.Revision(self.era, number)

    def _changes_after(self, revision):
        """Return the changes that a watch returns, or None."""
        if revision.era != self.era or revision.number > len(self.history):
            return None
        return self.history[revision.number :]

    def _on_change(self, key, changed):
        # The mirror catches errors of its callback, so none is raised here.
        if changed is None:
            self.notified.pop(key, None)
            return
        if changed.revision <= self.newest.get(key, item.NO_REVISION):
            self.outdated.append((key, changed.revision))
        self.newest[key] = changed.revision
        self.notified[key] = changed.value

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def write(self, key):
        """Write a key."""
        self.writes += 1
        number = len(self.history) + 1
        written = item.Item(key, self._at(number), b'%d' % self.writes)
        self.history.append(written)
        self.stored[key] = written

    @stateful.precondition(lambda self: self.stored)
    @stateful.rule(data=strategies.data())
    def remove(self, data):
        """Remove a key."""
        key = data.draw(strategies.sampled_from(sorted(self.stored)))
        del self.stored[key]
        number = len(self.history) + 1
        self.history.append(item.Item(key, self._at(number), b'', True))

    @stateful.rule()
    def back_up(self):
        """Make a copy of the store."""
        self.copies.append((list(self.history), dict(self.stored)))

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(data=strategies.data())
    def restore(self, data):
        """Restore the store from a copy, in a new era."""
        history, stored = data.draw(strategies.sampled_from(self.copies))
        self.era += 1
        self.history = [self._in_this_era(i) for i in history]
        self.stored = {k: self._in_this_era(i) for k, i in stored.items()}

    def _in_this_era(self, known):
        return dataclasses.replace(
            known, revision=self._at(known.revision.number)
        )

    @stateful.rule(n=strategies.integers(1, 8))
    def peer_watches(self, n):
        """Let the peer see changes; it lists if it has to."""
        changes = self._changes_after(self.peer.revision)
        if not self.peer.is_complete or changes is None:
            self._list(self.peer, 0)
        for change in self._changes_after(self.peer.revision)[:n]:
            self.peer.apply(change, self.now)
            self.peer.revision = change.revision

    @stateful.rule(n=strategies.integers(1, 8))
    def peer_misses_removals(self, n):
        """Let the peer see changes, but for removals."""
        for change in (self._changes_after(self.peer.revision) or [])[:n]:
            if not change.removed:
                self.peer.apply(change, self.now)
            self.peer.revision = change.revision
        self.peer.is_complete = False
        self.peer.forget_removals(self.peer.revision)

    @stateful.rule()
    def peer_outage(self):
        """Tell the peer that the store does not answer."""
        self.peer.hold_removals(self.now)

    @stateful.rule()
    def copy_from_peer(self):
        """Copy the peer's mirror, or the changes that are missing."""
        after = self.mirror.revision if self.mirror.is_complete else None
        snapshot = mirror_sync.make_snapshot(self.peer, after, self.now)
        ahead = peer_state.PeerState(test_peer_registry._peer('b0'), 0.0)
        with mock.patch('trio.current_time', lambda: self.now):
            self.synchronizer._apply_snapshot(snapshot, ahead)

    @stateful.rule()
    def watch(self):
        """Apply all changes since the mirror's revision; list if need be."""
        changes = self._changes_after(self.mirror.revision)
        if changes is None:
            self.list_all()
            return
        for change in changes:
            self.mirror.apply(change, self.now)
        self.mirror.revision = max(self.revision, self.mirror.revision)

    @stateful.rule(lag=strategies.integers(0, 5))
    def list_all(self, lag=0):
        """Apply a listing.

        :param lag: number of changes made while its pages were read.
        """
        self._list(self.mirror, lag)

    def _list(self, target, lag):
        for stored in self.stored.values():
            target.apply(stored, self.now)
        first_revision = self._at(max(len(self.history) - lag, 0))
        target.retain(set(self.stored), first_revision, self.now)
        target.revision = max(first_revision, target.revision)
        target.is_complete = True

    @stateful.rule()
    def outage(self):
        """Tell the mirror that the store does not answer."""
        self.mirror.hold_removals(self.now)

    @stateful.rule()
    def later(self):
        """Let time pass until held removals are due, and apply them."""
        self.now += mirror.REVIVAL_HOLD_S + 1.0
        self.mirror.apply_held_changes(self.now)
        self.peer.apply_held_changes(self.now)

    @stateful.invariant()
    def never_notifies_of_an_older_item(self):
        """No key's older item is notified after a newer one."""
        assert not self.outdated

    @stateful.invariant()
    def notifies_of_all_changes(self):
        """The notified values are those of the mirror's items."""
        values = {k: i.value for k, i in self.mirror.items.items()}
        assert values == self.notified

    def teardown(self):
        """Check that a copy, and a listing, make the mirror equal."""
        self.write(KEYS[0])
        self.peer_watches(len(self.history))
        self.copy_from_peer()
        self.later()
        self._check_equal()
        self.list_all()
        self.later()
        self._check_equal()

    def _check_equal(self):
        assert self.notified == {k: i.value for k, i in self.stored.items()}


MirrorMachine.TestCase.settings = settings(
    max_examples=500, stateful_step_count=30, deadline=None, derandomize=True
)
TestMirror = MirrorMachine.TestCase
