"""What instances believe of each other."""

import random

from savorycross.fleet import heartbeat
from savorycross.fleet import peer_registry
from tests import null_log


def _peer(name, data_centre='bilbo', started_at=1):
    host = f'10.0.{ord(name[0])}.{int(name[1:] or 0) + 1}'
    return heartbeat.Peer(
        name,
        started_at,
        data_centre,
        (host, 7740),
        (host, 8226),
    )


class Group:
    """Instances that exchange heartbeats by a clock of the test."""

    def __init__(self, **data_centres):
        self.now = 100.0
        self.rng = random.Random(5)
        self.members = {}
        self.down = set()
        self.cuts = set()
        for data_centre, names in data_centres.items():
            for name in names:
                self.add(_peer(name, data_centre))
        for member in self.members.values():
            for other in self.members.values():
                member.register(other.own, self.now)

    def add(self, peer):
        """Add an instance."""
        self.members[peer.name] = peer_registry.PeerRegistry(
            peer, null_log.NullLog()
        )

    def run(self, seconds):
        """Exchange heartbeats for a time."""
        until = self.now + seconds
        while self.now < until:
            self.now += peer_registry.HEARTBEAT_INTERVAL_S
            for name, member in self.members.items():
                if name not in self.down:
                    self._beat(name, member)

    def serving(self, name):
        """Return the names that an instance takes for serving."""
        found = self.members[name].serving(self.now)
        return sorted(p.name for p in found)

    def _beat(self, name, member):
        near = member.neighbours()
        share = peer_registry.REMOTE_MESSAGES / (len(near) + 1)
        far = [
            self.rng.choice(a)
            for a in member.remotes()
            if self.rng.random() < share
        ]
        for address in near:
            self._deliver(name, member, address, member.rows(self.now))
        for address in {*far, *member.pending_addresses()}.difference(near):
            rows = member.remote_rows(address, self.now)
            self._deliver(name, member, address, rows)

    def _deliver(self, name, member, address, rows):
        for other, found in self.members.items():
            if found.own.address != address or other in self.down:
                continue
            if (name, other) in self.cuts:
                continue
            sent = heartbeat.Heartbeat(
                heartbeat.FORMAT,
                member.own.id,
                heartbeat.READY,
                7,
                True,
                rows,
                member.take_questions(address),
                member.take_answers(address),
            )
            data = heartbeat.encode(sent)
            found.hear(heartbeat.decode(data), member.own.address, self.now)


def test_all_instances_find_each_other():
    group = Group(bilbo='abc', iruna='def')
    group.run(3)
    assert group.serving('a') == ['b', 'c', 'd', 'e', 'f']


def test_dead_instance_is_left_out_everywhere():
    group = Group(bilbo='abc', iruna='def')
    group.run(3)
    group.down.add('b')
    group.run(peer_registry.REMOTE_DEAD_AFTER_S + 1.2)
    assert group.serving('a') == ['c', 'd', 'e', 'f']
    assert group.serving('d') == ['a', 'c', 'e', 'f']


def test_live_instances_stay_for_long():
    group = Group(bilbo='abcd', iruna='efgh', donosti='ijkl')
    group.run(5)
    for _ in range(100):
        group.run(1)
        assert len(group.serving('a')) == 11


def test_instance_heard_by_neighbours_alone_is_alive():
    group = Group(bilbo='abc')
    group.run(3)
    group.cuts.add(('b', 'a'))
    group.run(5)
    assert group.serving('a') == ['b', 'c']


def test_restarted_instance_takes_the_place_of_its_predecessor():
    group = Group(bilbo='abc')
    group.run(3)
    group.add(_peer('b', started_at=9))
    group.members['b'].register(group.members['a'].own, group.now)
    group.run(3)
    (found,) = [
        p for p in group.members['c'].serving(group.now) if p.name == 'b'
    ]
    assert found.started_at == 9


def test_stranger_is_asked_who_it_is():
    group = Group(bilbo='ab', iruna='de')
    group.run(2)
    group.add(_peer('z', 'iruna'))
    group.members['z'].register(group.members['a'].own, group.now)
    group.run(6)
    assert 'z' in group.serving('d')
    assert group.serving('z') == ['a', 'b', 'd', 'e']


def test_datagram_between_data_centres_is_small():
    names = [f'{c}{i}' for c in 'abcd' for i in range(7)]
    group = Group(bilbo=names[:7], iruna=names[7:])
    group.run(8)
    member = group.members['a0']
    sent = heartbeat.Heartbeat(
        heartbeat.FORMAT,
        member.own.id,
        heartbeat.READY,
        1000,
        True,
        member.remote_rows(group.members['b3'].own.address, group.now),
    )
    assert len(heartbeat.encode(sent)) < 120


def test_question_that_nobody_answers_is_given_up():
    found = peer_registry.PeerRegistry(_peer('a'), null_log.NullLog())
    sent = heartbeat.Heartbeat(heartbeat.FORMAT, 77, 0, 0, True)
    found.hear(sent, ('10.0.0.7', 7740), 0.0)
    assert found.pending_addresses() == {('10.0.0.7', 7740)}
    found.tick(peer_registry.INTRODUCE_S + 1.0)
    assert not found.pending_addresses()
