"""Lists the addresses that callers are told to use."""

from savorycross.fleet import peer_state
from savorycross.overload import caller_subset
from savorycross.overload import shares

REFRESH_INTERVAL_S = 0.2
# The instances are ranked this often for each of them, so that ranking takes
# no more of the processor in a large fleet.
RANK_INTERVAL_S = 0.0003
# Time within which an instance learns of the others after its start. Until
# then each instance that the store names counts as alive.
PEER_DISCOVERY_S = 2.0


class Directory:
    """Lists the instances that take callers, this one included.

    ``is_ready`` tells whether this instance accepts callers.

    :param own: this instance's Peer.
    :param peers: PeerRegistry.
    :param subset: CallerSubset that selects among the ready instances.
    :param read_load: callable that returns the part of a core that this
        instance uses.
    :param seed_count: number of other instances that exist at least, as far
        as the settings tell.
    :param now: runtime clock time in seconds.
    :param read_speed: callable that returns the part of a core that this
        instance can use.
    """

    def __init__(
        self,
        own,
        peers,
        subset,
        read_load,
        seed_count,
        now,
        read_speed=lambda: 1.0,
    ):
        self._own = own
        self._peers = peers
        self._subset = subset
        self._read_load = read_load
        self._read_speed = read_speed
        self._seed_names = frozenset(
            f'seed {n + 1}' for n in range(seed_count)
        )
        self._started_at = now
        self._refresh_at = now
        self._rank_at = now
        self._was_ready = False
        self._listed = []
        self.is_ready = False

    def addresses(self, now):
        """Return pairs of host and port of the instances in the list."""
        listed = [p.caller_address for p in self.serving_peers(now)]
        if self.lists_own(now):
            listed.append(self._own.caller_address)
        return listed

    def names(self, now):
        """Return the names of the instances in the list."""
        names = [p.name for p in self.serving_peers(now)]
        return [*names, self._own.name] if self.lists_own(now) else names

    def lists_own(self, now):
        """Return whether callers are told to use this instance."""
        self._refresh(now)
        return self.is_ready and self._own.name in self._subset.selected

    def serving_peers(self, now):
        """Return the Peers in the list, without this instance."""
        self._refresh(now)
        return self._listed

    def count_local(self, now):
        """Return how many instances of this data centre take callers."""
        listed = self.serving_peers(now)
        count = sum(p.data_centre == self._own.data_centre for p in listed)
        return count + (self._own.name in self._subset.selected)

    def shares(self, now):
        """Return the LimitShares of this instance."""
        self._refresh(now)
        known = self._list_known(now)
        senders = self._subset.senders(self._own.name, now)
        if now - self._started_at < PEER_DISCOVERY_S:
            senders |= self._list_possible(senders | known)
        return shares.LimitShares(
            self._own.name, senders, frozenset(known - senders)
        )

    def rate_shares(self, now):
        """Return the LimitShares of the rates that targets state.

        Instances that take callers now hold parts. Others, such as those
        that callers of an outdated list still use, borrow tokens from them,
        so that no part is held by an instance that has ended. If most of the
        senders are gone at once, this instance may be the one that is cut
        off, so all of them hold parts until their sends no longer count.
        """
        self._refresh(now)
        holders = self._subset.selected
        senders = self._subset.senders(self._own.name, now)
        if 2 * len(holders) < len(senders):
            holders |= senders
        is_discovering = now - self._started_at < PEER_DISCOVERY_S
        if is_discovering:
            is_discovering = not self._has_heard_all(now)
        if is_discovering or not holders:
            holders |= self._list_possible(holders | self._list_known(now))
        return shares.LimitShares(self._own.name, holders)

    def _has_heard_all(self, now):
        """Return whether all instances that are known are heard and ready."""
        known = self._list_known(now)
        return len(known) > len(self._seed_names) and len(known) == (
            len(self._peers.serving_states(now)) + self.is_ready
        )

    def _list_known(self, now):
        """Return the names of all instances that may send."""
        known = {p.name for p in self._peers.recent_peers(now)}
        return frozenset(known | {self._own.name})

    def _list_possible(self, names):
        """Return names, and those of the seeds if they are fewer."""
        if len(names) > len(self._seed_names):
            return names
        return names | self._seed_names

    def _refresh(self, now):
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_INTERVAL_S
        states = self._peers.serving_states(now)
        if now >= self._rank_at or self._has_lost(states):
            self._rank(states, now)
        selected = self._subset.selected
        self._listed = [s.peer for s in states if s.peer.name in selected]

    def _has_lost(self, states):
        """Return whether a selected instance has to be replaced at once."""
        if self.is_ready != self._was_ready:
            return True
        missing = self._subset.selected.difference(s.peer.name for s in states)
        return bool(missing - {self._own.name})

    def _rank(self, states, now):
        """Select among the ready instances.

        :param states: PeerStates of the others.
        """
        self._rank_at = now + RANK_INTERVAL_S * len(states)
        self._was_ready = self.is_ready
        candidates = [peer_state.make_candidate(s) for s in states]
        if self.is_ready:
            candidates.append(
                caller_subset.Candidate(
                    self._own.name,
                    self._own.data_centre,
                    self._read_load(),
                    self._read_speed(),
                )
            )
        self._subset.update(candidates, now)
