"""Decides which instances watch the store.

Load pattern: hundreds of instances that each watch the store, and list it
when they all start at once, make more calls than the store takes. So a few
instances of each data centre watch; the others copy changes from them. Where
machines differ, fast ones watch: a copy for each of 35 others takes a link of
7 Mbit/s seconds, and changes have to be in force by then.

Those that watch may lose the store without noticing it, and their silence
looks like that of a store without changes. So an instance whose mirror nobody
has confirmed for some time reads the store itself, one instance after the
other, as heartbeats tell the rest what the first one has read.
"""

import math

from savorycross.fleet import peer_state
from savorycross.overload import caller_subset
from savorycross.ownership import rendezvous

# Watching instances of a data centre; the second one carries on while the
# loss of the first is noticed.
WATCHERS = 2
# Time for which an instance watches that could not copy from its peers.
FORCED_S = 10.0
# Time after its start in which an instance learns which others are alive, so
# that of many that start together not all watch. Its listing is newer.
SETTLE_S = 1.0
# Parts of the time in which a change is due: the age from which on the first
# instance reads the store, the time until the next one does, and the longest
# such time. The rest is for a read that fails, and for the next one.
PATIENCE_PART = 0.4
TURN_PART = 0.08
MAX_TURNS_PART = 0.24
_TURNS = 'turns'


class WatchDuty:
    """Tells whether this instance is to watch the store.

    Chosen are the first live instances of a data centre that reach the
    store, in the order of ``caller_subset.rank``, or the first of all live
    ones if none does.

    :param own: this instance's Peer.
    :param peers: PeerRegistry.
    :param has_store: callable that returns whether the store answers this
        instance.
    :param read_speed: callable that returns the part of a core that this
        instance can use.
    :param starts_at: runtime clock time from which on it may watch.
    :param read_age_s: callable that takes the time and returns the seconds
        for which changes of the store may be missing.
    :param change_deadline_s: seconds in which a change must be in force.
    """

    def __init__(
        self,
        own,
        peers,
        has_store,
        read_speed=lambda: 1.0,
        starts_at=0.0,
        read_age_s=lambda now: 0.0,
        change_deadline_s=math.inf,
    ):
        self._own = own
        self._starts_at = starts_at
        self._peers = peers
        self._has_store = has_store
        self._read_speed = read_speed
        self._forced_until = 0.0
        self._read_age_s = read_age_s
        self._change_deadline_s = change_deadline_s

    def force(self, now):
        """Watch for some time, as peers do not pass on their changes."""
        self._forced_until = now + FORCED_S

    def is_on(self, now):
        """Return whether this instance is to watch.

        :param now: runtime clock time in seconds.
        """
        if now < self._forced_until:
            return True
        if now < self._starts_at:
            return False
        return self._is_overdue(now) or self._is_chosen(now)

    def _is_overdue(self, now):
        """Return whether this instance is to read what nobody confirmed."""
        deadline_s = self._change_deadline_s
        overdue_s = self._read_age_s(now) - PATIENCE_PART * deadline_s
        if overdue_s < 0.0:
            return False
        if overdue_s >= MAX_TURNS_PART * deadline_s:
            return True
        return overdue_s >= self._count_turns(now) * TURN_PART * deadline_s

    def _count_turns(self, now):
        """Return how many instances read the store before this one."""
        ranked = rendezvous.rank(
            _TURNS,
            [
                self._own,
                *(s.peer for s in self._peers.live_states(now) if s.has_store),
            ],
        )
        return ranked.index(self._own)

    def _is_chosen(self, now):
        """Return whether this instance watches for its data centre."""
        states = self._peers.local_states(now)
        make = peer_state.make_candidate
        reaching = [make(s) for s in states if s.has_store]
        own = caller_subset.Candidate(
            self._own.name, self._own.data_centre, 0.0, self._read_speed()
        )
        if self._has_store():
            reaching.append(own)
        members = reaching or [own, *map(make, states)]
        ranked = caller_subset.rank(self._own.data_centre, members)
        return own in ranked[:WATCHERS]

    def count(self, now):
        """Return about how many instances watch in all data centres."""
        return self._peers.count_data_centres() * WATCHERS
