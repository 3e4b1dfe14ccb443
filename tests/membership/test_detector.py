import dataclasses

from savorycross.membership import detector
from savorycross.membership import member


class Network:
    """Detectors that exchange datagrams without delay, on a fake clock."""

    def __init__(self, count):
        self.now = 100.0
        self.members = [
            member.Member(
                f'm{n}',
                'x',
                '127.0.0.1',
                1,
                n + 1,
                member.make_incarnation(n + 1),
            )
            for n in range(count)
        ]
        self.detectors = {
            m.name: detector.FailureDetector(m, detector.Header, seed=n)
            for n, m in enumerate(self.members)
        }
        self.cut_links = set()
        for node in self.detectors.values():
            node.set_members(self.members, self.now)

    def run(self, seconds):
        """Advance the clock in small steps, and deliver all datagrams."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.05, 3)
            for name, node in self.detectors.items():
                self._deliver(name, node.run_due_timers(self.now))

    def _deliver(self, sender, out):
        queue = [(sender, m, d) for m, d in out]
        while queue:
            origin, to, datagram = queue.pop(0)
            if frozenset((origin, to.name)) in self.cut_links:
                continue
            answers = self.detectors[to.name].handle_datagram(
                datagram, self.now
            )
            queue += [(to.name, m, d) for m, d in answers]

    def isolate(self, name):
        """Cut the links of a member to all others."""
        self.cut_links |= {
            frozenset((name, m.name)) for m in self.members if m.name != name
        }


def test_all_members_stay_alive():
    network = Network(5)
    network.run(20)
    assert all(not d.dead_members() for d in network.detectors.values())


def test_isolated_member_is_dead_to_others_within_three_seconds():
    network = Network(4)
    network.run(2)
    network.isolate('m2')
    network.run(3)
    for name in ('m0', 'm1', 'm3'):
        assert [m.name for m in network.detectors[name].dead_members()] == [
            'm2'
        ]


def test_member_cut_from_one_other_is_kept_alive_by_indirect_probes():
    network = Network(4)
    network.cut_links = {frozenset(('m0', 'm1'))}
    network.run(20)
    assert all(not d.dead_members() for d in network.detectors.values())


def test_member_that_comes_back_is_alive_again():
    network = Network(4)
    network.isolate('m2')
    network.run(4)
    network.cut_links = set()
    network.run(3)
    assert all(not d.dead_members() for d in network.detectors.values())


def test_rumour_about_an_earlier_process_is_ignored():
    network = Network(3)
    own = network.detectors['m0']
    new = dataclasses.replace(
        network.members[1], incarnation=member.make_incarnation(500)
    )
    own.set_members([network.members[0], new, network.members[2]], network.now)
    network.isolate('m1')
    network.run(0.2)
    peer = own.peer('m1')
    assert peer.member.incarnation == new.incarnation


def test_next_timer_of_a_failing_probe_is_in_the_future():
    """A timer that stays in the past makes the task loop without a pause."""
    network = Network(3)
    network.isolate('m1')
    for _ in range(200):
        own = network.detectors['m0']
        network.run(0.05)
        own.run_due_timers(network.now)
        assert own.next_timer_at() > network.now


def test_cost_per_interval_does_not_grow_with_the_fleet():
    sent = {}
    for count in (4, 64):
        network = Network(count)
        total = 0
        for _ in range(40):
            network.now += detector.PROBE_INTERVAL_S
            total += len(network.detectors['m0'].run_due_timers(network.now))
        sent[count] = total
    assert sent[4] <= 40 * 3
    assert sent[64] <= 40 * 3
