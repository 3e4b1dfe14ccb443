"""Selects the instances that send on this instance's behalf."""

import xxhash

from savorycross.forward import backoff
from savorycross.ownership import rendezvous
from savorycross.relay import latency

# Interval between updates of the delegates from the registry of peers.
REFRESH_INTERVAL_S = 0.5
# A delegate that failed is avoided for the shortest time, which doubles with
# each further failure up to the longest.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# Round-trip time that is assumed until the first batch was measured.
INITIAL_OVERHEAD_S = 0.004
# A connection carries one batch at a time.
MAX_CONNECTIONS = 16


class Delegate:
    """Holds the health and the overhead of an instance elsewhere.

    :param peer: Peer, in another data centre.
    :param pool: Pool of connections to the peer.
    """

    def __init__(self, peer, pool):
        self.peer = peer
        self.pool = pool
        self._overhead = latency.Ewma()
        self._overhead.add(INITIAL_OVERHEAD_S)
        self._failures = 0
        self._backoff_until = 0.0

    @property
    def overhead_s(self):
        """Return the moving average of the overhead of a batch in seconds.

        The overhead is the time until results arrive, less the time that
        the delegate itself took.
        """
        return self._overhead.value

    def is_usable(self, now):
        """Return whether the delegate may get a batch."""
        return now >= self._backoff_until and self.pool.has_room

    def record_success(self, overhead_s):
        """Record that results arrived, which ends any backoff.

        :param overhead_s: seconds that they took beyond the delegate's own.
        """
        self._failures = 0
        self._backoff_until = 0.0
        self._overhead.add(overhead_s)

    def record_failure(self, now):
        """Record that results are missing, and start a longer backoff.

        :returns: seconds for which the delegate is avoided.
        """
        backoff_s = backoff.exponential(
            MIN_BACKOFF_S, MAX_BACKOFF_S, self._failures
        )
        self._failures += 1
        self._backoff_until = now + backoff_s
        return backoff_s


class DelegateSelector:
    """Selects a delegate for each other data centre.

    Each instance ranks the instances of a data centre by rendezvous
    hashing, which spreads the senders over them.

    :param own: this instance's Peer.
    :param peers: PeerRegistry.
    :param make_pool: callable that returns the Pool of an address.
    """

    def __init__(self, own, peers, make_pool):
        self._own = own
        self._peers = peers
        self._make_pool = make_pool
        self._by_id = {}
        self._ranked = {}
        self._refresh_at = 0.0

    def choose_data_centre(self, call_id, now):
        """Return the data centre that a call prefers among other ones.

        The hash of the id spreads calls over the data centres.

        :param call_id: bytes.
        :returns: None if no other data centre has a serving instance.
        """
        self._refresh(now)
        if not self._ranked:
            return None
        names = sorted(self._ranked)
        return names[xxhash.xxh32_intdigest(call_id) % len(names)]

    def select(self, data_centre, now):
        """Return the best ranked usable Delegate of a data centre, or None."""
        self._refresh(now)
        for delegate in self._ranked.get(data_centre, ()):
            if delegate.is_usable(now):
                return delegate
        return None

    def count(self, now):
        """Return the number of delegates that may get a batch."""
        self._refresh(now)
        return sum(d.is_usable(now) for d in self._by_id.values())

    def prune(self, now):
        """Close connections that were idle for too long."""
        for delegate in self._by_id.values():
            delegate.pool.prune(now)

    def _refresh(self, now):
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_INTERVAL_S
        serving = {
            p.id: p
            for p in self._peers.serving_peers(now)
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
            delegate = self._by_id[peer.id]
            self._ranked.setdefault(peer.data_centre, []).append(delegate)
