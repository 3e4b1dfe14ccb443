"""A mirror under any order of listings, watches, copies and outages."""

from unittest import mock

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from savorycross.discovery import item
from savorycross.discovery import mirror
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_registry
from tests.fleet import test_peer_registry
from tests import null_log

KEYS = ('a', 'b')


class MirrorMachine(stateful.RuleBasedStateMachine):
    """A store, a peer that follows it, and the mirror under test."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.history = []
        self.stored = {}
        self.peer = (0, {}, True)
        self.told = {}
        self.newest = {}
        self.went_back = []
        self.mirror = mirror.Mirror(self._on_change)
        self.exchange = mirror_sync.MirrorSynchronizer(
            self.mirror, None, None, null_log.NullLog(), lambda: None, None
        )

    @property
    def revision(self):
        """Revision of the store."""
        return len(self.history)

    def _on_change(self, key, found):
        # The mirror survives handlers that fail, so nothing is raised here.
        if found is None:
            self.told.pop(key, None)
            return
        if found.revision <= self.newest.get(key, 0):
            self.went_back.append((key, found.revision))
        self.newest[key] = found.revision
        self.told[key] = found.value

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def write(self, key):
        """Somebody writes a key."""
        found = item.Item(key, self.revision + 1, b'%d' % self.revision)
        self.history.append(found)
        self.stored[key] = found

    @stateful.precondition(lambda self: self.stored)
    @stateful.rule(data=strategies.data())
    def remove(self, data):
        """A key goes."""
        key = data.draw(strategies.sampled_from(sorted(self.stored)))
        del self.stored[key]
        self.history.append(item.Item(key, self.revision + 1, b'', True))

    @stateful.rule(
        n=strategies.integers(1, 8), has_store=strategies.booleans()
    )
    def peer_follows(self, n, has_store):
        """The peer sees some changes; without the store no removals."""
        revision, items, _ = self.peer
        items = dict(items)
        for found in self.history[revision : revision + n]:
            if found.removed and has_store:
                items.pop(found.key, None)
            elif not found.removed:
                items[found.key] = found
        revision = min(revision + n, self.revision)
        self.peer = (revision, items, has_store)

    @stateful.rule()
    def copy_from_peer(self):
        """The mirror takes the peer's copy."""
        revision, items, has_store = self.peer
        found = mirror_sync.Snapshot(
            revision, [(i.key, i.revision, i.value) for i in items.values()]
        )
        ahead = peer_registry.PeerState(test_peer_registry._peer('b0'), 0.0)
        ahead.has_store = has_store
        with mock.patch('trio.current_time', lambda: self.now):
            self.exchange._apply_snapshot(found, ahead)

    @stateful.rule()
    def watch(self):
        """The mirror takes all changes since its revision."""
        for found in self.history[self.mirror.revision :]:
            self.mirror.apply(found, self.now)
        self.mirror.revision = self.revision

    @stateful.rule(lag=strategies.integers(0, 5))
    def list_all(self, lag=0):
        """The mirror takes a listing.

        :param lag: changes that came while its pages were read.
        """
        for found in self.stored.values():
            self.mirror.apply(found, self.now)
        self.mirror.retain(set(self.stored), self.now)
        first = self.revision - lag
        self.mirror.revision = max(first, self.mirror.revision)
        self.mirror.is_complete = True

    @stateful.rule()
    def outage(self):
        """The store does not answer."""
        self.mirror.note_outage(self.now)

    @stateful.rule()
    def later(self):
        """Held removals become due."""
        self.now += mirror.RETURN_HOLD_S + 1.0
        self.mirror.apply_due_removals(self.now)

    @stateful.invariant()
    def never_goes_back(self):
        """Nobody hears of a key's older value after a newer one."""
        assert not self.went_back

    @stateful.invariant()
    def tells_what_it_holds(self):
        """What was told of is what the mirror holds."""
        held = {k: i.value for k, i in self.mirror.items.items()}
        assert held == self.told

    def teardown(self):
        """A listing, after any outage, makes the mirror whole."""
        self.later()
        self.list_all()
        self.later()
        assert self.told == {k: i.value for k, i in self.stored.items()}


MirrorMachine.TestCase.settings = settings(
    max_examples=500, stateful_step_count=30, deadline=None, derandomize=True
)
TestMirror = MirrorMachine.TestCase
