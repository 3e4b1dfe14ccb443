"""Decides which peers of a fleet are alive.

Load pattern: in fleets of hundreds of instances, nobody hears each other
instance every few seconds. See docs/design/heartbeats.md.

Sources of the methods: van Renesse, Minsky and Hayden, "A Gossip-Style
Failure Detection Service", 1998, for small fleets; Das, Gupta and Motivala,
"SWIM", 2002, for large ones.
"""

from savorycross.fleet import rumours

# Tolerates three lost heartbeats in a row.
DEAD_AFTER_S = 1.7
# Heartbeats between data centres are less frequent.
REMOTE_DEAD_AFTER_S = 2.6
# A suspected instance is dead if nobody has heard it for this long after the
# first probe that it left unanswered.
SUSPICION_S = 1.7
# Time that is left for contradictions once an instance learns of a
# suspicion.
MIN_SUSPICION_S = 0.6
# Instances are suspected only while others of their data centre are heard.
CONNECTED_S = 1.2


class FailureDetector:
    """Decides which peers are alive.

    In a small fleet, a peer is dead that nobody has heard for some time. In a
    large one, it is alive until it leaves probes unanswered and nobody
    contradicts, as long as any instance of its data centre is heard.
    Suspicions and contradictions are ordered by the numbers of heartbeats
    and by the time for which they speak.

    ``is_large`` tells which way is used.

    :param data_centre: name of this instance's data centre.
    """

    def __init__(self, data_centre):
        self.changes = rumours.RumourQueue()
        self.suspicions = rumours.RumourQueue()
        self.is_large = False
        self._data_centre = data_centre
        # The PeerState heard last of each data centre, and when it was.
        self._freshest = {}
        self._freshest_at = {}
        self._to_verify = []

    def is_alive(self, state, now):
        """Return whether a peer is alive, as far as known."""
        if state.heard_at is None:
            return False
        is_local = state.peer.data_centre == self._data_centre
        timeout_s = DEAD_AFTER_S if is_local else REMOTE_DEAD_AFTER_S
        if not self.is_large:
            return now - state.heard_at < timeout_s
        if state.dead_at is not None and now >= state.dead_at:
            return False
        return now - self._freshest_at[state.peer.data_centre] < timeout_s

    def is_connected(self, now):
        """Return whether any instance of this data centre is heard."""
        heard_at = self._freshest_at.get(self._data_centre)
        return heard_at is not None and now - heard_at < DEAD_AFTER_S

    def freshest_ids(self, now):
        """Return the id heard last of each other data centre.

        Those that were not heard recently are left out.
        """
        return [
            state.id
            for name, state in self._freshest.items()
            if name != self._data_centre
            and now - self._freshest_at[name] < CONNECTED_S
        ]

    def suspect_silent(self, state, since, now):
        """Suspect a peer that left probes of this instance unanswered.

        :param since: when the first of them was sent.
        """
        if state.heard_at is None or state.heard_at >= since:
            return
        heard_at = self._freshest_at[state.peer.data_centre]
        if state.suspected_at is None and now - heard_at < CONNECTED_S:
            self.suspect(state, since, now)

    def suspect(self, state, since, now, sequence=0):
        """Suspect a peer, unless it was heard after a time.

        The times of suspicions agree on all instances, so they take the peer
        for dead at the same time.

        :param since: when the first probe was sent that it left unanswered.
        :param sequence: number of its newest heartbeat that the one that
            suspects it knows of; 0 if it has none.
        """
        if state.heard_at is None or not self.is_large:
            return
        if state.heard_at >= since:
            if not sequence or state.sequence > sequence:
                self._contradict(state, since)
                return
            # The same heartbeat was read later here than elsewhere.
            state.heard_at = since
        dead_at = max(since + SUSPICION_S, now + MIN_SUSPICION_S)
        if state.suspected_at is None:
            state.suspected_at = since
            state.dead_at = dead_at
            self.suspicions.add(state.id)
            self._to_verify.append(state)
        elif since < state.suspected_at:
            state.suspected_at = since
            state.dead_at = min(dead_at, state.dead_at)

    def take_to_verify(self):
        """Return the PeerStates to probe since the last call.

        They are newly suspected, or others heard them later than those that
        suspect them.
        """
        taken, self._to_verify = self._to_verify, []
        return taken

    def record_heard(self, state, states):
        """Note that a peer was heard.

        :param states: PeerStates of all peers.
        :returns: whether it was suspected before.
        """
        self._update_freshest(state, states)
        is_cleared = (
            state.suspected_at is not None
            and state.heard_at > state.suspected_at
        )
        if is_cleared:
            self._clear(state)
        return is_cleared

    def forget(self, state):
        """Stop passing on the status of a peer."""
        self.changes.discard(state.id)
        self.suspicions.discard(state.id)

    def _contradict(self, state, since):
        self.changes.add(state.id)
        if (state.heard_directly_at or 0.0) < since:
            self._to_verify.append(state)

    def _update_freshest(self, state, states):
        """Note that a peer was heard, if it is the latest in its centre.

        Suspicions from the beginning of an interruption are dropped at its
        end.
        """
        data_centre = state.peer.data_centre
        heard_at = self._freshest_at.get(data_centre)
        if heard_at is not None and state.heard_at <= heard_at:
            return
        self._freshest[data_centre] = state
        self._freshest_at[data_centre] = state.heard_at
        if heard_at is None or state.heard_at - heard_at < DEAD_AFTER_S:
            return
        for other in states:
            if (
                other.peer.data_centre == data_centre
                and other.suspected_at is not None
                and other.suspected_at > heard_at - CONNECTED_S
            ):
                self._clear(other)

    def _clear(self, state):
        state.suspected_at = state.dead_at = None
        self.suspicions.discard(state.id)
