"""The registry of known instances and the detection of failed ones."""

import xxhash

from savorycross.discovery import item as items
from savorycross.fleet import failure_detector
from savorycross.fleet import heartbeat as heartbeats
from savorycross.fleet import introductions
from savorycross.fleet import newest_revision
from savorycross.fleet import peer_state

HEARTBEAT_INTERVAL_S = 0.4
DEAD_AFTER_S = failure_detector.DEAD_AFTER_S
REMOTE_DEAD_AFTER_S = failure_detector.REMOTE_DEAD_AFTER_S
# Silent instances are removed after this time.
FORGET_AFTER_S = 20.0
# Rows of unknown instances that were heard longer ago are ignored.
UNKNOWN_AGE_S = 1.7
LARGE_UNKNOWN_AGE_S = 10.0
# All exchange everything until no older version was heard for this time.
OLDER_VERSION_S = 5.0
# Instances of a data centre up to which all of them exchange everything.
FULL_EXCHANGE_MAX = 8
# Change of the load, in percentage points, that is passed on at once.
LOAD_CHANGE = 10
# An instance that has not heard of a larger part of the others asks for the
# status of all.
MAX_UNHEARD_SHARE = 0.05


class PeerRegistry:
    """Tracks other instances and what they tell of themselves.

    Small fleets, and those with an instance of a version that answers no
    probes, exchange everything: instances of one data centre send heartbeats
    to each other, and a few heartbeats carry the status of a data centre to
    others. Once a data centre has more than ``full_exchange_max`` instances,
    heartbeats carry changes and samples.

    ``unheard_share`` is the part of the known instances that were never
    heard.

    :param own: this instance's Peer.
    :param log: EventLog.
    :param full_exchange_max: instances of a data centre up to which all of
        them exchange everything.
    :param on_current: called with a Revision and the time before which a
        peer that has reached it lacked no change of the store.
    """

    def __init__(
        self,
        own,
        log,
        full_exchange_max=FULL_EXCHANGE_MAX,
        on_current=lambda revision, at: None,
    ):
        self.own = own
        self.introductions = introductions.Introductions()
        self.detector = failure_detector.FailureDetector(own.data_centre)
        self.newest = newest_revision.NewestRevision()
        self.unheard_share = 0.0
        self._older_heard_at = None
        self._log = log
        self._full_exchange_max = full_exchange_max
        self._on_current = on_current
        self._by_name = {}
        self._by_id = {}
        self._by_data_centre = {}
        self._alive = set()

    @property
    def is_large(self):
        """Return whether heartbeats carry only changes and samples."""
        return self.detector.is_large

    def register(self, peer, now):
        """Add a peer, or a newer incarnation of one.

        It is not alive until a heartbeat or a status row tells so. Clocks
        may be set back between two starts, so that the time of the start
        tells the newer one only until the known one has long been silent.
        """
        if peer.name == self.own.name:
            return
        previous = self._by_name.get(peer.name)
        if previous is not None:
            if previous.peer == peer:
                return
            is_newer = peer.started_at > previous.peer.started_at
            silent_s = now - previous.last_seen_at
            if not is_newer and (
                self.detector.is_alive(previous, now)
                or silent_s < REMOTE_DEAD_AFTER_S
            ):
                return
            self._remove(previous)
        state = peer_state.PeerState(peer, now)
        self._by_name[peer.name] = state
        self._by_id[peer.id] = state
        self._by_data_centre.setdefault(peer.data_centre, {})[peer.id] = state
        self.introductions.record_known(peer.id)

    def on_heartbeat(self, heartbeat, address, now):
        """Update the registry from a heartbeat.

        :param address: host and port that it came from.
        """
        if heartbeat.sender == self.own.id:
            return
        for peer in heartbeat.peers:
            self.register(peer, now)
        if heartbeat.asked:
            self.introductions.add_requested(heartbeat.asked, address)
        for row in heartbeat.rows:
            self._apply_row(row, address, now)
        self._note_version(heartbeat, now)
        for suspicion in heartbeat.suspicions:
            state = self._by_id.get(suspicion.id)
            if state is not None:
                since = now - suspicion.age_ms / 1000
                self.detector.suspect(state, since, now, suspicion.sequence)
        self._learn_revision(heartbeat, now)
        state = self._by_id.get(heartbeat.sender)
        if state is None:
            self.introductions.add_unknown(heartbeat.sender, address, now)
            return
        self._update(state, heartbeat, now, state.apply_heartbeat)

    def tick(self, now):
        """Log peers that became alive or silent, and remove old entries."""
        self._update_mode(now)
        alive = {
            s.peer.name
            for s in self._by_name.values()
            if self.detector.is_alive(s, now)
        }
        for name in sorted(alive - self._alive):
            self._log.event('instance.heard', peer=name)
        for name in sorted(self._alive - alive):
            state = self._by_name.get(name)
            self._log.event(
                'instance.silent',
                peer=name,
                is_leaving=bool(state and state.flags & heartbeats.LEAVING),
                heard_s_ago=_seconds_since_heard(state, now),
            )
        self._alive = alive
        unheard = sum(s.heard_at is None for s in self._by_name.values())
        self.unheard_share = unheard / max(len(self._by_name), 1)
        self.introductions.expire(now)
        for state in list(self._by_name.values()):
            if state.peer.name in alive:
                state.alive_at = now
            elif now - state.last_seen_at > FORGET_AFTER_S and (
                now - state.alive_at > FORGET_AFTER_S
            ):
                self._remove(state)

    def count(self, now):
        """Return the number of instances that may send, this one included."""
        return len(self.recent_peers(now)) + 1

    def recent_peers(self, now):
        """Return the Peers that may send, as they were heard or are new."""
        return [
            s.peer
            for s in self._by_name.values()
            if s.heard_at is not None
            or now - s.registered_at < 2 * DEAD_AFTER_S
        ]

    def states(self):
        """Return the PeerStates of all known peers."""
        return list(self._by_name.values())

    def count_suspected(self):
        """Return the number of peers that are suspected or dead."""
        return sum(s.suspected_at is not None for s in self._by_name.values())

    def live_states(self, now):
        """Return the PeerStates of live peers."""
        return [
            s for s in self._by_name.values() if self.detector.is_alive(s, now)
        ]

    def serving_states(self, now):
        """Return the PeerStates of live peers that are ready for callers."""
        return [
            s
            for s in self._by_name.values()
            if s.flags == heartbeats.READY and self.detector.is_alive(s, now)
        ]

    def serving_peers(self, now):
        """Return the live Peers that are ready for callers."""
        return [s.peer for s in self.serving_states(now)]

    def local_states(self, now):
        """Return the PeerStates of live peers in this data centre.

        Peers that are stopping are left out.
        """
        return [
            s
            for s in self._by_name.values()
            if s.peer.data_centre == self.own.data_centre
            and (s.heard_directly_at is not None or self.is_large)
            and not s.flags & heartbeats.LEAVING
            and self.detector.is_alive(s, now)
        ]

    def count_data_centres(self):
        """Return the number of data centres with a known instance."""
        return len({*self._by_data_centre, self.own.data_centre})

    def find_ahead(self, revision, now, excluded=frozenset()):
        """Return the PeerState of the peer with the newest store revision.

        Only peers count that this instance itself has heard recently, or
        that others named as holders of a revision.

        :param revision: the store's Revision that this instance has seen.
        :param excluded: names of peers that do not count.
        :returns: None if no peer has seen a newer one.
        """
        candidates = self._list_heard_directly(now)
        holder = self._find_holder(revision, now)
        if holder is not None:
            candidates.append(holder)
        ahead = [
            s
            for s in candidates
            if s.revision > revision and s.peer.name not in excluded
        ]
        return max(ahead, key=self._rank_source, default=None)

    def find_newer_configuration(self, version, now):
        """Return the PeerState of the peer with the newest configuration.

        :param version: version that this instance has in force, or 0.
        :returns: None if no peer has a newer one in force.
        """
        newer = [
            s
            for s in self._list_heard_directly(now)
            if s.configuration > version
        ]
        return max(newer, key=lambda s: s.configuration, default=None)

    def find_host(self, name):
        """Return the host of an instance, or None if it is not known."""
        state = self._by_name.get(name)
        return state.peer.address[0] if state is not None else None

    def find_state(self, id_):
        """Return the PeerState of an id, or None."""
        return self._by_id.get(id_)

    def list_local(self):
        """Return the PeerStates of this data centre."""
        return list(
            self._by_data_centre.get(self.own.data_centre, {}).values()
        )

    def list_remote(self):
        """Return views of PeerStates, one for each other data centre."""
        return [
            states.values()
            for name, states in self._by_data_centre.items()
            if name != self.own.data_centre
        ]

    def count_local(self):
        """Return the number of known instances here, this one included."""
        return len(self._by_data_centre.get(self.own.data_centre, ())) + 1

    def take_requested_peers(self, address):
        """Return the known Peers that an address asked for, once."""
        asked = self.introductions.take_requested_ids(address)
        peers = [self.own] if self.own.id in asked else []
        peers += [self._by_id[i].peer for i in asked if i in self._by_id]
        return tuple(peers[: introductions.MAX_PEER_LOOKUPS])

    def older_age_s(self, now):
        """Return the seconds since an older version was heard by anyone.

        :returns: None if none was heard for some time.
        """
        if self._older_heard_at is None:
            return None
        age_s = now - self._older_heard_at
        return age_s if age_s < OLDER_VERSION_S else None

    def _note_version(self, heartbeat, now):
        heard_at = None
        if heartbeat.expects == heartbeats.SENDS_TO_ALL:
            heard_at = now
        elif heartbeat.older_age_ms is not None:
            heard_at = now - heartbeat.older_age_ms / 1000
        if heard_at is not None:
            self._older_heard_at = max(self._older_heard_at or 0.0, heard_at)

    def _update_mode(self, now):
        """Change the way in which failures are detected, if it is due."""
        sizes = [self.count_local(), *map(len, self._by_data_centre.values())]
        is_large = (
            max(sizes) > self._full_exchange_max
            and self.older_age_s(now) is None
        )
        if is_large == self.is_large:
            return
        if self.is_large:
            # Live peers need not have been heard recently in a large fleet.
            for state in self.live_states(now):
                state.heard_at = now
        self.detector.is_large = is_large
        self._log.event('heartbeats.mode_changed', is_large=is_large)

    def _remove(self, state):
        peer = state.peer
        del self._by_name[peer.name]
        self._by_id.pop(peer.id, None)
        self.detector.forget(state)
        members = self._by_data_centre[peer.data_centre]
        del members[peer.id]
        if not members:
            del self._by_data_centre[peer.data_centre]

    def _apply_row(self, row, address, now):
        if row.id == self.own.id:
            return
        state = self._by_id.get(row.id)
        if state is None:
            max_age_s = LARGE_UNKNOWN_AGE_S if self.is_large else UNKNOWN_AGE_S
            if row.age_ms < max_age_s * 1000:
                self.introductions.add_unknown(row.id, address, now)
            return
        heard_at = now - row.age_ms / 1000
        if state.is_older(row, heard_at):
            self._update(state, row, heard_at, state.apply_row)
        if state.suspected_at is not None:
            # The sender does not know of the suspicion.
            self.detector.suspicions.add(row.id)

    def _update(self, state, message, heard_at, apply):
        """Update a peer's status, and pass on what has changed."""
        is_first = state.heard_at is None
        before = (state.flags, state.has_store)
        load, capacity = state.load, state.capacity
        apply(message, heard_at)
        was_suspected = self.detector.record_heard(
            state, self._by_name.values()
        )
        if is_first:
            # After a common start, all ask for the status of all others.
            has_changed = self.unheard_share < MAX_UNHEARD_SHARE
        else:
            has_changed = (
                was_suspected
                or before != (state.flags, state.has_store)
                or abs(load - state.load) >= LOAD_CHANGE
                or capacity != state.capacity
            )
        if has_changed:
            self.detector.changes.add(state.id)

    def _learn_revision(self, heartbeat, now):
        revision = items.Revision(heartbeat.era, heartbeat.revision)
        holder = heartbeat.sender
        self.newest.learn(revision, holder, self._is_local(holder), now)
        if heartbeat.age_ms is not None:
            age_s = heartbeat.age_ms / 1000 + heartbeats.HOP_S
            self._on_current(revision, now - age_s)
        newest = heartbeat.newest
        if newest is not None:
            revision = items.Revision(newest.era, newest.revision)
            holder = newest.holder
            self.newest.learn(revision, holder, self._is_local(holder), now)

    def _is_local(self, id_):
        return id_ in self._by_data_centre.get(self.own.data_centre, ())

    def _find_holder(self, revision, now):
        """Return the PeerState of the holder of a newer revision, or None."""
        found = self.newest.find_holder(revision, now)
        if found is None:
            return None
        state = self._by_id.get(found[1])
        if state is not None:
            state.revision = max(state.revision, found[0])
        return state

    def _list_heard_directly(self, now):
        return [
            s
            for s in self._by_name.values()
            if s.heard_directly_at is not None
            and now - s.heard_directly_at < REMOTE_DEAD_AFTER_S
        ]

    def _rank_source(self, state):
        """Return the key by which sources of changes are compared.

        Among the newest, those nearby are preferred, and instances choose
        different ones.
        """
        peer = state.peer
        is_local = peer.data_centre == self.own.data_centre
        digest = xxhash.xxh32_intdigest(f'{self.own.name}|{peer.name}')
        return state.revision, is_local, digest


def _seconds_since_heard(state, now):
    if state is None or state.heard_at is None:
        return None
    return round(now - state.heard_at, 2)
