"""Failure detection by heartbeats with indirect probes and suspicion.

The cost for each instance and interval does not depend on the number of
instances: one probe, its answer, and at most two indirect probes. Sources:
Das et al., "SWIM", 2002; Dadgar et al., "Lifeguard", 2018.
"""

import dataclasses
import enum
import itertools
import math
import random

from savorycross.membership import member as members
from savorycross.peer import messages

PROBE_INTERVAL_S = 0.25
ACK_TIMEOUT_S = 0.15
BASE_SUSPICION_S = 0.8
INDIRECT_PROBES = 2
MAX_RUMOURS_PER_DATAGRAM = 8
RUMOUR_REPEATS = 4


class Status(enum.StrEnum):
    """Whether an instance is believed to run."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


_SEVERITY = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2}


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known about one other instance.

    :param highest_incarnation: highest incarnation received for it, with
        refutations.
    :param status_since: when the status was set; runtime clock, seconds.
    :param load: requests in progress that it reported.
    :param leaving: whether it reported that it leaves.
    :param view_epoch: epoch of its view; 0 while it proposes another view.
    :param config_version: version of its catalogue.
    """

    member: members.Member
    highest_incarnation: int
    status: Status = Status.ALIVE
    status_since: float = 0.0
    load: float = 0.0
    leaving: bool = False
    view_epoch: int = 0
    config_version: int = 0


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe without an answer so far.

    :param sent_at: runtime clock, seconds.
    :param is_indirect: whether other instances have been asked to probe too.
    """

    peer: Peer
    sent_at: float
    is_indirect: bool = False

    @property
    def timeout_at(self):
        """Time at which others are asked, or at which the probe has failed."""
        return self.sent_at + ACK_TIMEOUT_S * (1 + self.is_indirect)


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """A peer's own answer to a probe.

    :param probe_sent_at: when the probe was sent; runtime clock, seconds.
    """

    name: str
    view_epoch: int
    config_version: int
    probe_sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """The state of the sender that each datagram carries.

    :param view_epoch: epoch of its view; 0 if it does not acknowledge it.
    :param config_version: version of its catalogue.
    :param load: requests in progress.
    :param leaving: whether it is about to leave.
    :param stamp: hybrid clock stamp.
    :param confirmed_age_ms: see ``Datagram``.
    """

    view_epoch: int = 0
    config_version: int = 0
    load: float = 0.0
    leaving: bool = False
    stamp: int = 0
    confirmed_age_ms: int | None = None


class FailureDetector:
    """Detects which instances have failed.

    The detector does no input or output: received datagrams and the current
    time are passed in, and (member, datagram) pairs to send are returned.

    :param own: this instance's Member.
    :param header: callable that returns a Header.
    :param seed: seed of the probe order.
    """

    def __init__(self, own, header, seed=0):
        self._own = own
        self._header = header
        self._incarnation = own.incarnation
        self._random = random.Random(seed)
        self._peers = {}
        self._probe_order = []
        self._sequences = itertools.count(1)
        self._probes = {}
        self._relayed_pings = {}
        self._rumours = {}
        self._suspects = {}
        self._next_probe_at = 0.0
        self.change_count = 0
        self.received_acks = []

    def set_members(self, view_members, now):
        """Probe just these members from now on.

        :param view_members: Members; this instance itself is left out.
        :param now: runtime clock, seconds.
        """
        wanted = {m.name: m for m in view_members if m.name != self._own.name}
        for name in list(self._peers):
            if self._peers[name].member != wanted.get(name):
                del self._peers[name]
                self._suspects.pop(name, None)
                self.change_count += 1
        for name, member in wanted.items():
            if name not in self._peers:
                self._peers[name] = Peer(
                    member, member.incarnation, status_since=now
                )
                self.change_count += 1
        self._probe_order = [n for n in self._probe_order if n in self._peers]

    def peer(self, name):
        """Return the Peer of a name, or None."""
        return self._peers.get(name)

    def peers(self):
        """Return all Peers."""
        return list(self._peers.values())

    def is_alive(self, name):
        """Return whether an instance is believed alive."""
        if name == self._own.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and peer.status is Status.ALIVE

    def dead_members(self):
        """Return the Members that are believed dead."""
        return [
            p.member for p in self._peers.values() if p.status is Status.DEAD
        ]

    def suspicion_timeout_s(self):
        """Return for how long a suspect may refute its failure, in seconds.

        The time grows with the logarithm of the number of peers.
        """
        return BASE_SUSPICION_S * max(1.0, math.log10(len(self._peers) + 1))

    def next_timer_at(self):
        """Return the runtime clock time of the next timer."""
        timeouts = [p.timeout_at for p in self._probes.values()]
        timeout_s = self.suspicion_timeout_s()
        suspects = [
            p.status_since + timeout_s for p in self._suspects.values()
        ]
        return min([self._next_probe_at, *timeouts, *suspects])

    def run_due_timers(self, now):
        """Run the timers that are due.

        :returns: list of (member, datagram) to send.
        """
        out = self._check_probes(now)
        self._check_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            out += self._probe_next(now)
        return out

    def handle_datagram(self, datagram, now):
        """Handle a received datagram.

        :returns: list of (member, datagram) to send.
        """
        for rumour in datagram.rumours:
            self._handle_rumour(rumour, now)
        peer = self._peers.get(datagram.sender)
        if peer is not None:
            self._record_contact(peer, datagram, now)
        if datagram.kind == 'ping':
            return self._answer_ping(peer, datagram)
        if datagram.kind == 'ping-req':
            return self._relay_ping(peer, datagram, now)
        if datagram.kind == 'ack':
            return self._handle_ack(datagram)
        return []

    def _record_contact(self, peer, datagram, now):
        """Count the peer as alive: any datagram of its process proves that."""
        if not members.is_same_process(
            datagram.incarnation, peer.member.incarnation
        ):
            return
        peer.load = datagram.load
        peer.view_epoch = datagram.view_epoch
        peer.config_version = datagram.config_version
        if peer.leaving != datagram.leaving:
            peer.leaving = datagram.leaving
            self.change_count += 1
        peer.highest_incarnation = max(
            peer.highest_incarnation, datagram.incarnation
        )
        if peer.status is not Status.ALIVE:
            self._set_status(peer, Status.ALIVE, now)

    def _answer_ping(self, peer, datagram):
        if peer is None:
            return []
        ack = self._make_datagram('ack', datagram.sequence, self._own.name)
        return [(peer.member, ack)]

    def _relay_ping(self, peer, datagram, now):
        subject = self._peers.get(datagram.subject)
        if subject is None or peer is None:
            return []
        sequence = next(self._sequences)
        self._relayed_pings[sequence] = (peer.member, datagram.sequence, now)
        return [(subject.member, self._make_datagram('ping', sequence))]

    def _handle_ack(self, datagram):
        relayed = self._relayed_pings.pop(datagram.sequence, None)
        if relayed is not None:
            requester, sequence, _ = relayed
            ack = self._make_datagram('ack', sequence, datagram.sender)
            return [(requester, ack)]
        probe = self._probes.pop(datagram.sequence, None)
        if probe is None:
            return []
        if datagram.sender == probe.peer.member.name:
            self.received_acks.append(
                Ack(
                    datagram.sender,
                    datagram.view_epoch,
                    datagram.config_version,
                    probe.sent_at,
                )
            )
        return []

    def _check_probes(self, now):
        out = []
        for sequence, probe in list(self._probes.items()):
            if now < probe.timeout_at:
                continue
            if not probe.is_indirect:
                probe.is_indirect = True
                out += self._request_indirect_probes(sequence, probe)
                continue
            del self._probes[sequence]
            if probe.peer.status is Status.ALIVE:
                self._set_status(probe.peer, Status.SUSPECT, now)
        for sequence, (_, _, asked_at) in list(self._relayed_pings.items()):
            if now > asked_at + 4 * ACK_TIMEOUT_S:
                del self._relayed_pings[sequence]
        return out

    def _request_indirect_probes(self, sequence, probe):
        others = [
            p
            for p in self._peers.values()
            if p is not probe.peer and p.status is Status.ALIVE
        ]
        count = min(INDIRECT_PROBES, len(others))
        name = probe.peer.member.name
        return [
            (p.member, self._make_datagram('ping-req', sequence, name))
            for p in self._random.sample(others, count)
        ]

    def _check_suspects(self, now):
        timeout_s = self.suspicion_timeout_s()
        for peer in list(self._suspects.values()):
            if now >= peer.status_since + timeout_s:
                self._set_status(peer, Status.DEAD, now)

    def _probe_next(self, now):
        if not self._peers:
            return []
        if not self._probe_order:
            self._probe_order = list(self._peers)
            self._random.shuffle(self._probe_order)
        peer = self._peers[self._probe_order.pop()]
        sequence = next(self._sequences)
        self._probes[sequence] = _Probe(peer, now)
        return [(peer.member, self._make_datagram('ping', sequence))]

    def _handle_rumour(self, rumour, now):
        if rumour.name == self._own.name:
            self._refute(rumour)
            return
        peer = self._peers.get(rumour.name)
        if peer is None or not members.is_same_process(
            rumour.incarnation, peer.member.incarnation
        ):
            return
        try:
            status = Status(rumour.status)
        except ValueError:
            return
        is_newer = rumour.incarnation > peer.highest_incarnation
        is_same = rumour.incarnation == peer.highest_incarnation
        if is_newer or (
            is_same and _SEVERITY[status] > _SEVERITY[peer.status]
        ):
            peer.highest_incarnation = rumour.incarnation
            if status is Status.DEAD:
                status = Status.SUSPECT
            if status is not peer.status:
                self._set_status(peer, status, now)

    def _refute(self, rumour):
        """Refute a rumour that this process has failed.

        The refutation has a higher incarnation, so it overrides the rumour.
        """
        if (
            rumour.status == Status.ALIVE
            or rumour.incarnation < self._incarnation
        ):
            return
        if not members.is_same_process(rumour.incarnation, self._incarnation):
            return
        self._incarnation = rumour.incarnation + 1
        self._queue_rumour(self._own.name, self._incarnation, Status.ALIVE)

    def _set_status(self, peer, status, now):
        peer.status = status
        peer.status_since = now
        self._suspects.pop(peer.member.name, None)
        if status is Status.SUSPECT:
            self._suspects[peer.member.name] = peer
        self.change_count += 1
        self._queue_rumour(peer.member.name, peer.highest_incarnation, status)

    def _queue_rumour(self, name, incarnation, status):
        rumour = messages.Rumour(name, incarnation, str(status))
        repeats = RUMOUR_REPEATS + int(math.log2(len(self._peers) + 1))
        self._rumours[name] = [rumour, repeats]

    def _next_rumours(self):
        selected = list(self._rumours.items())[:MAX_RUMOURS_PER_DATAGRAM]
        for name, item in selected:
            item[1] -= 1
            if item[1] <= 0:
                del self._rumours[name]
        return tuple(item[0] for _, item in selected)

    def _make_datagram(self, kind, sequence, subject=''):
        header = self._header()
        return messages.Datagram(
            kind=kind,
            sender=self._own.name,
            incarnation=self._incarnation,
            sequence=sequence,
            subject=subject,
            view_epoch=header.view_epoch,
            config_version=header.config_version,
            stamp=header.stamp,
            load=header.load,
            leaving=header.leaving,
            rumours=self._next_rumours(),
            confirmed_age_ms=header.confirmed_age_ms,
        )
