"""Decides which instances are probed, and which left probes unanswered.

Load pattern: in fleets of hundreds of instances, heartbeats from each
instance to each other one cost more than the callers' requests. So each
instance probes one other at a time.

Source of the method: Das, Gupta and Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", 2002;
the order of probes is the one that section 4.3 describes.
"""

import dataclasses

# Steps in which an instance is probed before it is suspected, and probes in
# each but the first of them. With 20% of datagrams lost, one of 1,300 live
# instances leaves all seven unanswered.
ATTEMPTS = 3
REPEATED_PROBES = 3


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe that was not answered yet.

    :param sent_at: runtime clock time of the first attempt in seconds.
    """

    sent_at: float
    attempts: int = 1


class ProbeSchedule:
    """Probes the instances of a list in random order, each once in a round.

    :param rng: random.Random.
    """

    def __init__(self, rng):
        self._rng = rng
        self._round = []
        self._waiting = {}

    def choose(self, states):
        """Return the PeerState to probe next, or None.

        :param states: callable that returns the PeerStates of a new round.
        """
        if not self._round:
            self._round = states()
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def record_sent(self, id_, now):
        """Note that a probe was sent to the instance with an id."""
        self._waiting.setdefault(id_, _Probe(now))

    def clear(self):
        """Forget probes whose answers this instance may have missed."""
        self._waiting.clear()

    def check(self, find_state, now):
        """Return the PeerStates to probe again and those to suspect.

        :param find_state: callable that returns the PeerState of an id, or
            None.
        :returns: list of PeerStates, and list of pairs of a PeerState and
            the time when its first unanswered probe was sent.
        """
        again, silent = [], []
        for id_, probe in list(self._waiting.items()):
            state = find_state(id_)
            if state is None or (state.heard_at or 0.0) > probe.sent_at:
                del self._waiting[id_]
            elif probe.attempts < ATTEMPTS:
                probe.attempts += 1
                again.append(state)
            else:
                del self._waiting[id_]
                silent.append((state, probe.sent_at))
        return again, silent
