"""What one instance believes of the others."""

import dataclasses

from savorycross.fleet import heartbeat as heartbeats

HEARTBEAT_INTERVAL_S = 0.4
# Three heartbeats may be lost before an instance is taken for dead.
DEAD_AFTER_S = 1.7
# Word from other data centres comes less often.
REMOTE_DEAD_AFTER_S = 2.6
# Messages from one data centre to another in an interval, on average.
REMOTE_MESSAGES = 1.5
# Instances that are silent are forgotten after this time.
FORGET_AFTER_S = 20.0
# An instance is new to others for this time; a question about one is given
# up after it.
INTRODUCE_S = 5.0
MAX_ANSWERS = 24


@dataclasses.dataclass(slots=True)
class PeerState:
    """The newest word of a peer.

    :param heard_at: when anyone heard the peer itself, as far as known.
    :param direct_at: when this instance heard it.
    """

    peer: object
    known_at: float
    heard_at: float | None = None
    direct_at: float | None = None
    flags: int = 0
    revision: int = 0
    has_store: bool = False


class PeerRegistry:
    """Other instances, by heartbeats heard and by word of others.

    Instances of one data centre hear each other; between data centres a
    few messages carry what each believes of its own neighbours.

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
        self._unknown = {}
        self._answers = {}

    def register(self, peer, now):
        """Take note that a peer exists, without word from itself."""
        if peer.name == self.own.name:
            return
        known = self._by_name.get(peer.name)
        if known is not None:
            if known.peer.started_at >= peer.started_at:
                return
            self._by_id.pop(known.peer.id, None)
        state = PeerState(peer, now)
        self._by_name[peer.name] = state
        self._by_id[peer.id] = state
        self._unknown.pop(peer.id, None)

    def hear(self, heartbeat, address, now):
        """Take a heartbeat.

        :param address: address that it came from.
        """
        if heartbeat.sender == self.own.id:
            return
        for peer in heartbeat.peers:
            self.register(peer, now)
        if heartbeat.asked:
            self._answers[address] = heartbeat.asked
        for row in heartbeat.rows:
            self._take_row(row, address, now)
        state = self._by_id.get(heartbeat.sender)
        if state is None:
            self._ask(heartbeat.sender, address, now)
            return
        state.heard_at = now
        state.direct_at = now
        state.flags = heartbeat.flags
        state.revision = heartbeat.revision
        state.has_store = heartbeat.has_store

    def tick(self, now):
        """Log peers that went silent or came; forget what is old."""
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
                heard_s_ago=_age(state, now),
            )
        self._alive = alive
        self._unknown = {
            id_: question
            for id_, question in self._unknown.items()
            if now - question[1] < INTRODUCE_S
        }
        for name, state in list(self._by_name.items()):
            last = max(state.known_at, state.heard_at or 0.0)
            if now - last > FORGET_AFTER_S:
                del self._by_name[name]
                self._by_id.pop(state.peer.id, None)

    def count(self, now):
        """Return how many instances may be sending, this one included."""
        recent = sum(
            s.heard_at is not None or now - s.known_at < 2 * DEAD_AFTER_S
            for s in self._by_name.values()
        )
        return recent + 1

    def serving(self, now):
        """Return the Peers of others that take callers."""
        return [
            s.peer
            for s in self._by_name.values()
            if s.flags == heartbeats.READY and self._is_alive(s, now)
        ]

    def fresher(self, revision, now):
        """Return the live PeerState that has seen most of the store.

        :param revision: the store's revision that this instance has seen.
        :returns: None if no peer has seen more.
        """
        ahead = [
            s
            for s in self._by_name.values()
            if s.revision > revision
            and s.direct_at is not None
            and now - s.direct_at < REMOTE_DEAD_AFTER_S
        ]
        return max(ahead, key=lambda s: s.revision, default=None)

    def neighbours(self):
        """Return the addresses of peers in this data centre."""
        return [
            s.peer.address
            for s in self._by_name.values()
            if s.peer.data_centre == self.own.data_centre
        ]

    def remotes(self):
        """Return lists of addresses, one for each other data centre."""
        found = {}
        for state in self._by_name.values():
            peer = state.peer
            if peer.data_centre != self.own.data_centre:
                found.setdefault(peer.data_centre, []).append(peer.address)
        return list(found.values())

    def remote_rows(self, address, now):
        """Return the Rows of a heartbeat to another data centre.

        It hears of this instance's neighbours only; an instance that is new
        there hears of its own neighbours as well.
        """
        told = {self.own.data_centre}
        for state in self._by_name.values():
            if state.peer.address != address:
                continue
            if now - state.known_at < INTRODUCE_S:
                told.add(state.peer.data_centre)
        return self.rows(now, told)

    def rows(self, now, data_centres=None):
        """Return Rows of all instances heard of lately.

        :param data_centres: names; those elsewhere are left out.
        """
        return tuple(
            heartbeats.Row(s.peer.id, int((now - s.heard_at) * 1000), s.flags)
            for s in self._by_name.values()
            if s.heard_at is not None
            and now - s.heard_at < 2 * REMOTE_DEAD_AFTER_S
            and (data_centres is None or s.peer.data_centre in data_centres)
        )

    def take_questions(self, address):
        """Return the ids to ask of an address."""
        return tuple(
            id_ for id_, (at, _) in self._unknown.items() if at == address
        )

    def take_answers(self, address):
        """Return the Peers that an address asked for."""
        asked = self._answers.pop(address, ())
        found = [self.own] if self.own.id in asked else []
        found += [self._by_id[i].peer for i in asked if i in self._by_id]
        return tuple(found[:MAX_ANSWERS])

    def pending_addresses(self):
        """Return the addresses that are to be asked or answered."""
        return {*self._answers, *(at for at, _ in self._unknown.values())}

    def _take_row(self, row, address, now):
        if row.id == self.own.id:
            return
        state = self._by_id.get(row.id)
        if state is None:
            if row.age_ms < DEAD_AFTER_S * 1000:
                self._ask(row.id, address, now)
            return
        heard_at = now - row.age_ms / 1000
        if state.heard_at is None or heard_at > state.heard_at:
            state.heard_at = heard_at
            state.flags = row.flags

    def _ask(self, id_, address, now):
        if id_ in self._unknown or len(self._unknown) < MAX_ANSWERS:
            self._unknown[id_] = (address, now)

    def _is_alive(self, state, now):
        if state.heard_at is None:
            return False
        is_near = state.peer.data_centre == self.own.data_centre
        limit = DEAD_AFTER_S if is_near else REMOTE_DEAD_AFTER_S
        return now - state.heard_at < limit


def _age(state, now):
    if state is None or state.heard_at is None:
        return None
    return round(now - state.heard_at, 2)
