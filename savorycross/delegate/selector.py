"""Which instances make sends on this one's behalf."""

import xxhash

from savorycross.forward import backoff
from savorycross.ownership import rendezvous
from savorycross.relay import latency

# How often the choice is made anew.
REFRESH_S = 0.5
# A delegate that failed is left out for the first time, then for twice as
# long each time, up to the last.
AVOID_FIRST_S = 1.0
AVOID_MOST_S = 8.0
# The way there and back until the first batch has shown it.
FIRST_OVERHEAD_S = 0.004
# Batches that wait for one delegate's results at once.
MAX_CONNECTIONS = 16


class Delegate:
    """An instance in another data centre.

    :param peer: Peer.
    :param pool: Pool of connections to it.
    """

    def __init__(self, peer, pool):
        self.peer = peer
        self.pool = pool
        self._overhead = latency.Ewma()
        self._overhead.add(FIRST_OVERHEAD_S)
        self._failures = 0
        self._avoided_until = 0.0

    @property
    def overhead_s(self):
        """Usual time of a batch beyond that of the delegate in seconds."""
        return self._overhead.value

    def is_usable(self, now):
        """Whether it may get a batch."""
        return now >= self._avoided_until and self.pool.has_room

    def note_results(self, overhead_s):
        """Note that results came.

        :param overhead_s: time that they took beyond that of the delegate.
        """
        self._failures = 0
        self._avoided_until = 0.0
        self._overhead.add(overhead_s)

    def note_failure(self, now):
        """Note that results are missing; return for how long it is avoided."""
        wait = backoff.doubled(AVOID_FIRST_S, AVOID_MOST_S, self._failures)
        self._failures += 1
        self._avoided_until = now + wait
        return wait


class DelegateSelector:
    """The delegates of this instance, by data centre.

    Instances spread over the delegates of a data centre by rendezvous
    hashing.

    :param own: this instance's Peer.
    :param peers: PeerRegistry.
    :param make_pool: callable from an address to a Pool.
    """

    def __init__(self, own, peers, make_pool):
        self._own = own
        self._peers = peers
        self._make_pool = make_pool
        self._by_id = {}
        self._ranked = {}
        self._refresh_at = 0.0

    def prefer(self, call_id, now):
        """Return the data centre that a call prefers among others, or None."""
        self._refresh(now)
        if not self._ranked:
            return None
        names = sorted(self._ranked)
        return names[xxhash.xxh32_intdigest(call_id) % len(names)]

    def find(self, data_centre, now):
        """Return the Delegate for a data centre, or None."""
        self._refresh(now)
        for found in self._ranked.get(data_centre, ()):
            if found.is_usable(now):
                return found
        return None

    def count(self, now):
        """Return how many delegates may get a batch."""
        self._refresh(now)
        return sum(d.is_usable(now) for d in self._by_id.values())

    def prune(self, now):
        """Close connections that were idle for too long."""
        for found in self._by_id.values():
            found.pool.prune(now)

    def _refresh(self, now):
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        serving = {
            p.id: p
            for p in self._peers.serving(now)
            if p.data_centre != self._own.data_centre
        }
        for id_ in self._by_id.keys() - serving.keys():
            self._by_id.pop(id_).pool.close()
        for id_, peer in serving.items():
            if id_ not in self._by_id:
                pool = self._make_pool(tuple(peer.address))
                pool.limit = MAX_CONNECTIONS
                self._by_id[id_] = Delegate(peer, pool)
        self._ranked = {}
        for peer in rendezvous.rank(self._own.name, serving.values()):
            found = self._by_id[peer.id]
            self._ranked.setdefault(peer.data_centre, []).append(found)
