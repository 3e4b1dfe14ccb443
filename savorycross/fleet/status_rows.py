"""Selects the instances whose status a heartbeat carries."""

from savorycross.fleet import heartbeat as heartbeats
from savorycross.fleet import introductions
from savorycross.fleet import peer_registry

# Instances whose status has changed, in one heartbeat.
MAX_CHANGES = 12
# Other instances, in turn, which corrects what lost heartbeats left wrong.
REFRESHED = 6
# Suspicions in one heartbeat; half of a large fleet may be lost at once.
MAX_SUSPICIONS = 100
# Data centres for which the instance heard last is included.
MAX_DATA_CENTRES = 4
# A heartbeat that tells a new instance of all others must fit in a datagram.
# Rows take up to 21 bytes, and datagrams up to 16,384 are read.
MAX_ROWS = 700


class RowSelector:
    """Selects rows and suspicions for one heartbeat after the other.

    :param peers: PeerRegistry.
    :param rng: random.Random.
    """

    def __init__(self, peers, rng):
        self._peers = peers
        self._rng = rng
        self._turn = []

    def select_all(self, now):
        """Return StatusRows of all live instances, as far as they fit."""
        states = self._peers.live_states(now)
        if len(states) > MAX_ROWS:
            states = self._rng.sample(states, MAX_ROWS)
        return tuple(s.make_row(now, heartbeats.HOP_S) for s in states)

    def select_recent(self, now, data_centres=None):
        """Return a StatusRow for each instance heard recently.

        :param data_centres: names of the data centres to include; all if
            None.
        """
        max_age_s = 2 * peer_registry.REMOTE_DEAD_AFTER_S
        return tuple(
            s.make_row(now)
            for s in self._peers.states()
            if s.heard_at is not None
            and now - s.heard_at < max_age_s
            and (data_centres is None or s.peer.data_centre in data_centres)
        )

    def select_for_remote(self, address, now):
        """Return the StatusRows of a heartbeat to another data centre.

        They cover the instances of this data centre. A receiver that is new
        also gets those of its own data centre.
        """
        data_centres = {self._peers.own.data_centre}
        for state in self._peers.states():
            is_new = now - state.registered_at < introductions.INTRODUCTION_S
            if state.peer.address == address and is_new:
                data_centres.add(state.peer.data_centre)
        return self.select_recent(now, data_centres)

    def select_sample(self, now):
        """Return StatusRows of changed instances and of some others."""
        changed = self._peers.detector.changes.take(MAX_CHANGES)
        chosen = dict.fromkeys(changed)
        chosen.update(dict.fromkeys(self._list_freshest(now)))
        chosen.update(dict.fromkeys(self._take_turn(now)))
        states = (self._peers.find_state(id_) for id_ in chosen)
        return tuple(
            s.make_row(now, heartbeats.HOP_S)
            for s in states
            if s is not None and s.heard_at is not None
        )

    def select_suspicions(self, now):
        """Return Suspicions that were not contradicted."""
        chosen = self._peers.detector.suspicions.take(MAX_SUSPICIONS)
        states = (self._peers.find_state(id_) for id_ in chosen)
        return tuple(
            heartbeats.Suspicion(
                s.id, int((now - s.suspected_at) * 1000), s.sequence
            )
            for s in states
            if s is not None and s.suspected_at is not None
        )

    def _list_freshest(self, now):
        """Return the ids that were heard last in other data centres.

        They tell that the data centre can be reached.
        """
        freshest = self._peers.detector.freshest_ids(now)
        if len(freshest) > MAX_DATA_CENTRES:
            freshest = self._rng.sample(freshest, MAX_DATA_CENTRES)
        return freshest

    def _take_turn(self, now):
        if not self._turn:
            self._turn = [s.id for s in self._peers.live_states(now)]
            self._rng.shuffle(self._turn)
        chosen, self._turn = self._turn[:REFRESHED], self._turn[REFRESHED:]
        return chosen
