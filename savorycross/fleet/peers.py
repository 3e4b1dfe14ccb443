"""What one instance believes of the others."""

import dataclasses

HEARTBEAT_INTERVAL_S = 0.4
# Three heartbeats may be lost before an instance is taken for dead.
DEAD_AFTER_S = 1.7
# Addresses that never answer are forgotten after this time.
FORGET_AFTER_S = 20.0
MAX_TOLD_PEERS = 16


@dataclasses.dataclass(slots=True)
class PeerState:
    """The newest word of a peer."""

    peer: object
    known_at: float
    heard_at: float | None = None
    vouched_at: float | None = None
    is_ready: bool = False
    is_leaving: bool = False
    revision: int = 0
    has_store: bool = False


class Peers:
    """Other instances, by heartbeats heard and by word of others.

    :param own: this instance's Peer.
    :param log: EventLog.
    """

    def __init__(self, own, log):
        self.own = own
        self._log = log
        self._by_name = {}
        self._alive = set()
        self._told = 0

    def learn(self, peer, now):
        """Take note that a peer exists, without word from itself."""
        if peer.name == self.own.name:
            return
        known = self._by_name.get(peer.name)
        if known is not None and known.peer.started_at >= peer.started_at:
            return
        self._by_name[peer.name] = PeerState(peer, now)

    def hear(self, heartbeat, now):
        """Take a heartbeat."""
        sender = heartbeat.sender
        if sender.name == self.own.name:
            return
        self.learn(sender, now)
        state = self._by_name[sender.name]
        if state.peer.started_at > sender.started_at:
            return
        state.peer = sender
        state.heard_at = now
        state.is_ready = heartbeat.is_ready
        state.is_leaving = heartbeat.is_leaving
        state.revision = heartbeat.revision
        state.has_store = heartbeat.has_store
        for name in heartbeat.heard:
            vouched = self._by_name.get(name)
            if vouched is not None:
                vouched.vouched_at = now
        for peer in heartbeat.known:
            self.learn(peer, now)

    def tick(self, now):
        """Forget and log peers that went silent; log those that came."""
        alive = {s.peer.name for s in self._by_name.values() if _alive(s, now)}
        for name in sorted(alive - self._alive):
            self._log.event('instance.heard', peer=name)
        for name in sorted(self._alive - alive):
            state = self._by_name.get(name)
            self._log.event(
                'instance.silent',
                peer=name,
                is_leaving=state is not None and state.is_leaving,
                heard_s_ago=_age(state, now),
            )
        self._alive = alive
        for name, state in list(self._by_name.items()):
            last = max(state.known_at, state.heard_at or 0.0)
            if now - last > FORGET_AFTER_S:
                del self._by_name[name]

    def count(self, now):
        """Return how many instances may be sending, this one included."""
        recent = sum(
            s.heard_at is not None or now - s.known_at < 2 * DEAD_AFTER_S
            for s in self._by_name.values()
        )
        return recent + 1

    def serving(self, now):
        """Return the PeerStates of others that take callers."""
        return [
            s
            for s in self._by_name.values()
            if s.is_ready and not s.is_leaving and _alive(s, now)
        ]

    def fresher(self, revision, now):
        """Return the live peer that has seen most of the store, or None.

        :param revision: the store's revision that this instance has seen.
        """
        ahead = [
            s
            for s in self._by_name.values()
            if s.revision > revision and _heard(s, now)
        ]
        return max(ahead, key=lambda s: s.revision, default=None)

    def addresses(self):
        """Return the addresses to send heartbeats to."""
        return [s.peer.address for s in self._by_name.values()]

    def heard(self, now):
        """Return the names of peers heard directly."""
        return tuple(
            s.peer.name for s in self._by_name.values() if _heard(s, now)
        )

    def known(self):
        """Return some Peers to tell others of, in turn."""
        states = list(self._by_name.values())
        if len(states) <= MAX_TOLD_PEERS:
            return tuple(s.peer for s in states)
        self._told = (self._told + MAX_TOLD_PEERS) % len(states)
        states = states[self._told :] + states[: self._told]
        return tuple(s.peer for s in states[:MAX_TOLD_PEERS])


def _heard(state, now):
    return state.heard_at is not None and now - state.heard_at < DEAD_AFTER_S


def _alive(state, now):
    if _heard(state, now):
        return True
    vouched_at = state.vouched_at
    return (
        state.heard_at is not None
        and vouched_at is not None
        and now - vouched_at < DEAD_AFTER_S
    )


def _age(state, now):
    if state is None or state.heard_at is None:
        return None
    return round(now - state.heard_at, 2)
