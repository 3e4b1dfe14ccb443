"""The registry of known instances and the detection of failed ones."""

import dataclasses

import xxhash

from savorycross.discovery import item as items
from savorycross.fleet import heartbeat as heartbeats

HEARTBEAT_INTERVAL_S = 0.4
# Tolerates three lost heartbeats in a row.
DEAD_AFTER_S = 1.7
# Heartbeats between data centres are less frequent.
REMOTE_DEAD_AFTER_S = 2.6
# Average number of heartbeats from one data centre to another in an interval.
REMOTE_MESSAGES_PER_INTERVAL = 1.5
# Silent instances are removed after this time.
FORGET_AFTER_S = 20.0
# An instance counts as new for this time after it was registered; an unknown
# id is asked for no longer than this.
INTRODUCTION_S = 5.0
# Unknown ids that are asked for, and Peers that one heartbeat returns.
MAX_PEER_LOOKUPS = 24


@dataclasses.dataclass(slots=True)
class PeerState:
    """Holds the newest status of a peer.

    Times are those of the runtime clock, in seconds.

    :param peer: Peer.
    :param registered_at: when the peer was registered.
    :param heard_at: when any instance received a heartbeat from the peer,
        as far as known, or None.
    :param heard_directly_at: when this instance received one, or None.
    :param flags: READY and LEAVING.
    :param revision: the store's Revision that the peer has seen.
    :param configuration: version of the configuration in force there.
    :param has_store: whether the store answers the peer.
    :param load: percentage of a core that the peer uses.
    :param capacity: processor that it can use, in thousandths of a core; 0
        if it is not known.
    """

    peer: object
    registered_at: float
    heard_at: float | None = None
    heard_directly_at: float | None = None
    flags: int = 0
    revision: items.Revision = items.NO_REVISION
    configuration: int = 0
    has_store: bool = False
    load: int = 0
    capacity: int = 0


class PeerRegistry:
    """Tracks other instances and detects their failure by gossip.

    Instances of one data centre send heartbeats to each other; between data
    centres, a few heartbeats carry the status of the sender's own data
    centre.

    Source of the method: van Renesse, Minsky and Hayden, "A Gossip-Style
    Failure Detection Service", 1998.

    :param own: this instance's Peer.
    :param log: EventLog.
    """

    def __init__(self, own, log):
        self.own = own
        self._log = log
        self._by_name = {}
        self._by_id = {}
        self._alive = set()
        self._unknown_ids = {}
        self._requested_ids = {}

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
            silent_s = now - _last_seen_at(previous)
            if not is_newer and silent_s < REMOTE_DEAD_AFTER_S:
                return
            self._by_id.pop(previous.peer.id, None)
        state = PeerState(peer, now)
        self._by_name[peer.name] = state
        self._by_id[peer.id] = state
        self._unknown_ids.pop(peer.id, None)

    def on_heartbeat(self, heartbeat, address, now):
        """Update the registry from a heartbeat.

        :param address: host and port that it came from.
        """
        if heartbeat.sender == self.own.id:
            return
        for peer in heartbeat.peers:
            self.register(peer, now)
        if heartbeat.asked:
            self._requested_ids[address] = heartbeat.asked
        for row in heartbeat.rows:
            self._apply_row(row, address, now)
        state = self._by_id.get(heartbeat.sender)
        if state is None:
            self._add_unknown(heartbeat.sender, address, now)
            return
        state.heard_at = now
        state.heard_directly_at = now
        state.flags = heartbeat.flags
        state.revision = items.Revision(heartbeat.era, heartbeat.revision)
        state.configuration = heartbeat.configuration
        state.has_store = heartbeat.has_store
        state.load = heartbeat.load
        state.capacity = heartbeat.capacity

    def tick(self, now):
        """Log peers that became alive or silent, and remove old entries."""
        alive = {
            s.peer.name
            for s in self._by_name.values()
            if self._is_alive(s, now)
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
        self._unknown_ids = {
            id_: lookup
            for id_, lookup in self._unknown_ids.items()
            if now - lookup[1] < INTRODUCTION_S
        }
        for name, state in list(self._by_name.items()):
            if now - _last_seen_at(state) > FORGET_AFTER_S:
                del self._by_name[name]
                self._by_id.pop(state.peer.id, None)

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

    def serving_states(self, now):
        """Return the PeerStates of live peers that are ready for callers."""
        return [
            s
            for s in self._by_name.values()
            if s.flags == heartbeats.READY and self._is_alive(s, now)
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
            and s.heard_directly_at is not None
            and not s.flags & heartbeats.LEAVING
            and self._is_alive(s, now)
        ]

    def count_data_centres(self):
        """Return the number of data centres with a known instance."""
        names = {s.peer.data_centre for s in self._by_name.values()}
        return len(names | {self.own.data_centre})

    def find_ahead(self, revision, now, excluded=frozenset()):
        """Return the PeerState of the peer with the newest store revision.

        Only peers that this instance itself has heard recently count.

        :param revision: the store's Revision that this instance has seen.
        :param excluded: names of peers that do not count.
        :returns: None if no peer has seen a newer one.
        """
        ahead = [
            s
            for s in self._list_heard_directly(now)
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

    def find_host(self, name):
        """Return the host of an instance, or None if it is not known."""
        state = self._by_name.get(name)
        return state.peer.address[0] if state is not None else None

    def local_addresses(self):
        """Return the addresses of the peers in this data centre."""
        return [
            s.peer.address
            for s in self._by_name.values()
            if s.peer.data_centre == self.own.data_centre
        ]

    def remote_addresses(self):
        """Return lists of addresses, one for each other data centre."""
        by_data_centre = {}
        for state in self._by_name.values():
            peer = state.peer
            if peer.data_centre != self.own.data_centre:
                by_data_centre.setdefault(peer.data_centre, []).append(
                    peer.address
                )
        return list(by_data_centre.values())

    def remote_status_rows(self, address, now):
        """Return the StatusRows of a heartbeat to another data centre.

        They cover the instances of this data centre. A receiver that is new
        also gets those of its own data centre.
        """
        data_centres = {self.own.data_centre}
        for state in self._by_name.values():
            if state.peer.address != address:
                continue
            if now - state.registered_at < INTRODUCTION_S:
                data_centres.add(state.peer.data_centre)
        return self.status_rows(now, data_centres)

    def status_rows(self, now, data_centres=None):
        """Return a StatusRow for each instance heard recently.

        :param data_centres: names of the data centres to include; all if
            None.
        """
        return tuple(
            heartbeats.StatusRow(
                s.peer.id,
                int((now - s.heard_at) * 1000),
                s.flags,
                s.load,
                s.capacity,
            )
            for s in self._by_name.values()
            if s.heard_at is not None
            and now - s.heard_at < 2 * REMOTE_DEAD_AFTER_S
            and (data_centres is None or s.peer.data_centre in data_centres)
        )

    def unknown_ids(self, address):
        """Return the unknown ids to ask an address for."""
        return tuple(
            id_
            for id_, (source, _) in self._unknown_ids.items()
            if source == address
        )

    def take_requested_peers(self, address):
        """Return the known Peers that an address asked for, once."""
        asked = self._requested_ids.pop(address, ())
        peers = [self.own] if self.own.id in asked else []
        peers += [self._by_id[i].peer for i in asked if i in self._by_id]
        return tuple(peers[:MAX_PEER_LOOKUPS])

    def pending_addresses(self):
        """Return the addresses to ask for unknown ids or to answer."""
        return {
            *self._requested_ids,
            *(source for source, _ in self._unknown_ids.values()),
        }

    def _apply_row(self, row, address, now):
        if row.id == self.own.id:
            return
        state = self._by_id.get(row.id)
        if state is None:
            if row.age_ms < DEAD_AFTER_S * 1000:
                self._add_unknown(row.id, address, now)
            return
        heard_at = now - row.age_ms / 1000
        if state.heard_at is None or heard_at > state.heard_at:
            state.heard_at = heard_at
            state.flags = row.flags
            state.load = row.load
            state.capacity = row.capacity

    def _add_unknown(self, id_, address, now):
        if (
            id_ in self._unknown_ids
            or len(self._unknown_ids) < MAX_PEER_LOOKUPS
        ):
            self._unknown_ids[id_] = (address, now)

    def _is_alive(self, state, now):
        if state.heard_at is None:
            return False
        is_local = state.peer.data_centre == self.own.data_centre
        timeout_s = DEAD_AFTER_S if is_local else REMOTE_DEAD_AFTER_S
        return now - state.heard_at < timeout_s


def _last_seen_at(state):
    return max(state.registered_at, state.heard_at or 0.0)


def _seconds_since_heard(state, now):
    if state is None or state.heard_at is None:
        return None
    return round(now - state.heard_at, 2)
