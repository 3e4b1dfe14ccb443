"""Decides to whom an instance sends heartbeats, and what they contain.

Load pattern: the bytes of heartbeats from each instance to each other one,
with the status of all of them, grow with the square of the fleet and cost
more than callers' requests from some hundred instances on. In large fleets
an instance therefore sends a constant number of heartbeats of bounded size.
"""

from savorycross.discovery import item as items
from savorycross.fleet import heartbeat as heartbeats
from savorycross.fleet import peer_registry
from savorycross.fleet import probes
from savorycross.fleet import status_rows

# Average number of heartbeats from one data centre to another in an interval.
REMOTE_MESSAGES_PER_INTERVAL = 1.5
# In a large fleet, an instance sends heartbeats more often, to one local peer
# each time.
STEPS = 3
STEP_S = peer_registry.HEARTBEAT_INTERVAL_S / STEPS
# Heartbeats in a step to each other data centre, and to all of them.
REMOTE_PROBES = 0.08
MAX_REMOTE_PROBES = 0.5
# Instances of a data centre that probe one that another suspects.
SUSPECT_PROBES = 6
MAX_SUSPECT_PROBES = 3
# An instance that has not heard of a larger part of the others asks for the
# status of all in each step until it has heard of all of them, but no longer
# than this, as they may have ended.
JOIN_S = 6.0
# Answers to probes in a step. An instance gets one probe in a step on
# average.
MAX_ANSWERS = 12
MAX_FULL_ANSWERS = 3
# Instances that a stopping instance tells itself.
MAX_FAREWELLS = 400
MAX_SEEDS = 16


class HeartbeatPlanner:
    """Makes the heartbeats of an instance.

    :param peers: PeerRegistry.
    :param seeds: addresses that get heartbeats while no peer is known.
    :param describe: callable that returns this instance's own status as a
        dictionary: the fields ``flags``, ``revision``, ``era``,
        ``configuration``, ``has_store`` and ``load`` of a Heartbeat.
    :param rng: random.Random that chooses among peers.
    """

    def __init__(self, peers, seeds, describe, rng):
        self._peers = peers
        self._seeds = [s for s in seeds if s != peers.own.address]
        self._describe = describe
        self._rng = rng
        self._rows = status_rows.RowSelector(peers, rng)
        self._probes = probes.ProbeSchedule(rng)
        self._steps = 0
        self._sequence = 0
        self._step_at = 0.0
        self._joins_until = None
        self._answers = 0
        self._full_answers = 0

    @property
    def interval_s(self):
        """Return the seconds until heartbeats are due again."""
        if self._peers.is_large:
            return STEP_S
        return peer_registry.HEARTBEAT_INTERVAL_S

    def plan(self, now):
        """Return the heartbeats that are due.

        :returns: list of pairs of an address and a Heartbeat.
        """
        self._answers = self._full_answers = 0
        self._sequence += 1
        is_interval = not self._peers.is_large or self._steps % STEPS == 0
        if is_interval:
            self._peers.tick(now)
        if not self._peers.is_large:
            return self._plan_full(now)
        self._steps += 1
        planned = self._plan_probes(now)
        if is_interval:
            done = {address for address, _ in planned}
            planned += self._plan_pending(now, done)
        return planned

    def plan_farewell(self, now):
        """Return heartbeats that tell all others at once of a change.

        They have a number of their own, as instances that know the last one
        by other instances ignore rows with the same number.
        """
        self._sequence += 1
        if not self._peers.is_large:
            return self._plan_full(now)
        states = self._peers.live_states(now)
        if len(states) > MAX_FAREWELLS:
            states = self._rng.sample(states, MAX_FAREWELLS)
        return [
            (s.peer.address, self._make(s.peer.address, (), now))
            for s in states
        ]

    def answer(self, heartbeat, address, now):
        """Return the Heartbeat that answers another one, or None."""
        is_wanted = heartbeat.expects in (
            heartbeats.ANSWER,
            heartbeats.FULL_ANSWER,
        )
        if not is_wanted or self._answers >= MAX_ANSWERS:
            return None
        self._answers += 1
        is_full = (
            heartbeat.expects == heartbeats.FULL_ANSWER
            and self._full_answers < MAX_FULL_ANSWERS
        )
        if is_full or not self._peers.is_large:
            self._full_answers += 1
            return self._make(address, self._rows.select_all(now), now)
        return self._make_sample(address, now)

    def _plan_full(self, now):
        """Return heartbeats to all local peers and some remote ones.

        An instance that stops tells all remote ones itself, each time, as
        datagrams are lost and callers must not be sent to it.
        """
        peers = self._peers
        is_leaving = bool(self._describe()['flags'] & heartbeats.LEAVING)
        local = [s.peer.address for s in peers.list_local()]
        remote = [
            [s.peer.address for s in states] for states in peers.list_remote()
        ]
        probability = REMOTE_MESSAGES_PER_INTERVAL / (len(local) + 1)
        if is_leaving:
            chosen = [address for addresses in remote for address in addresses]
        else:
            chosen = [
                self._rng.choice(addresses)
                for addresses in remote
                if self._rng.random() < probability
            ]
        if not local and not remote:
            chosen = self._choose_seeds()
        rows = self._rows.select_recent(now)
        planned = [(a, self._make(a, rows, now)) for a in local]
        pending = peers.introductions.pending_addresses()
        for address in {*chosen, *pending}.difference(local):
            rows = ()
            if not is_leaving:
                rows = self._rows.select_for_remote(address, now)
            planned.append((address, self._make(address, rows, now)))
        return planned

    def _plan_probes(self, now):
        """Return probes of this step, and suspect what stayed silent."""
        if now - self._step_at > 3 * STEP_S:
            # This instance stood still; answers may wait in the socket.
            self._probes.clear()
        self._step_at = now
        peers = self._peers
        again, silent = self._probes.check(peers.find_state, now)
        for state, since in silent:
            peers.detector.suspect_silent(state, since, now)
        again *= probes.REPEATED_PROBES
        probed = [*self._choose_suspects(), *self._choose_remote()]
        chosen = self._probes.choose(peers.list_local)
        if chosen is not None:
            probed.append(chosen)
        is_joining = self._is_joining(now)
        planned = []
        for state in [*probed, *again]:
            self._probes.record_sent(state.id, now)
            expects = (
                heartbeats.FULL_ANSWER
                if state is chosen and is_joining
                else heartbeats.ANSWER
            )
            address = state.peer.address
            # What an instance that has ended is told would be lost.
            may_have_ended = state in again or state.suspected_at is not None
            make = self._make_bare if may_have_ended else self._make_sample
            planned.append((address, make(address, now, expects)))
        return planned

    def _choose_suspects(self):
        """Return some of the peers that are newly suspected."""
        suspects = self._peers.detector.take_to_verify()
        if not suspects:
            return []
        probability = SUSPECT_PROBES / self._peers.count_local()
        chosen = [
            s
            for s in suspects
            if s.peer.data_centre == self._peers.own.data_centre
            and self._rng.random() < probability
        ]
        return chosen[:MAX_SUSPECT_PROBES]

    def _choose_remote(self):
        remote = self._peers.list_remote()
        if not remote:
            return []
        local_count = self._peers.count_local()
        probability = min(
            max(
                REMOTE_PROBES,
                REMOTE_MESSAGES_PER_INTERVAL / STEPS / local_count,
            ),
            MAX_REMOTE_PROBES / len(remote),
        )
        return [
            self._rng.choice(list(states))
            for states in remote
            if self._rng.random() < probability
        ]

    def _plan_pending(self, now, excluded):
        """Return heartbeats that ask for unknown peers or tell of known."""
        pending = self._peers.introductions.pending_addresses()
        return [(a, self._make(a, (), now)) for a in pending - excluded]

    def _choose_seeds(self):
        if len(self._seeds) <= MAX_SEEDS:
            return self._seeds
        return self._rng.sample(self._seeds, MAX_SEEDS)

    def _is_joining(self, now):
        """Return whether this instance lacks the status of many others."""
        lacks_many = (
            not self._peers.detector.is_connected(now)
            or self._peers.unheard_share > peer_registry.MAX_UNHEARD_SHARE
        )
        if lacks_many and self._joins_until is None:
            self._joins_until = now + JOIN_S
        elif not lacks_many and not self._peers.unheard_share:
            self._joins_until = None
        return self._joins_until is not None and now < self._joins_until

    def _make_bare(self, address, now, expects):
        return self._make(address, (), now, expects)

    def _make_sample(self, address, now, expects=heartbeats.NO_ANSWER):
        rows = self._rows.select_sample(now)
        suspicions = self._rows.select_suspicions(now)
        return self._make(address, rows, now, expects, suspicions)

    def _make(
        self,
        address,
        rows,
        now,
        expects=heartbeats.NO_ANSWER,
        suspicions=(),
    ):
        fields = self._describe()
        revision = items.Revision(fields.get('era', 0), fields['revision'])
        return heartbeats.Heartbeat(
            format=heartbeats.FORMAT,
            sender=self._peers.own.id,
            rows=rows,
            asked=self._peers.introductions.unknown_ids(address),
            peers=self._peers.take_requested_peers(address),
            expects=expects,
            suspicions=suspicions,
            newest=self._peers.newest.describe(revision, now),
            older_age_ms=self._describe_older_versions(now),
            sequence=max(self._sequence, 1),
            **fields,
        )

    def _describe_older_versions(self, now):
        age_s = self._peers.older_age_s(now)
        if age_s is None:
            return None
        return int((age_s + heartbeats.HOP_S) * 1000)
