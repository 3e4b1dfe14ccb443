"""Measures the cost of membership and the spread of a change.

Runs the real failure detectors of a fleet over a loss-free exchange of
datagrams in memory. For each fleet size it measures messages, bytes and
processor time per instance, and how long a change takes to reach all.
"""

import json
import pathlib
import random
import time

from bench import plots
from savorycross.membership import detector
from savorycross.membership import member
from savorycross.membership import view
from savorycross.peer import codec

SIZES = (4, 64, 512, 3200)
STEP_S = 0.05
HOP_S = 0.001


class Fleet:
    """Instances that exchange heartbeats, by which a change spreads.

    :param count: number of instances.
    :param seed: seed of the first probe times.
    """

    def __init__(self, count, seed=1):
        self.members = tuple(
            member.Member(
                f'instance-{n}',
                f'dc-{n % 12}',
                f'10.{n // 65536}.{n // 256 % 256}.{n % 256}',
                7000,
                7100,
                member.make_incarnation(1e9 + n),
            )
            for n in range(count)
        )
        self.versions = dict.fromkeys((m.name for m in self.members), 1)
        self.messages = 0
        self.bytes = 0
        self.pulls = 0
        self.cpu_seconds = 0.0
        self.now = 0.0
        self._rng = random.Random(seed)
        self._detectors = {}
        for number, own in enumerate(self.members):
            failure_detector = detector.FailureDetector(
                own, self._header_of(own.name), seed=number
            )
            failure_detector.set_members(self.members, 0.0)
            failure_detector._next_probe_at = self._rng.random() * 0.25
            self._detectors[own.name] = failure_detector

    def _header_of(self, name):
        return lambda: detector.Header(1, self.versions[name], 0.0, False, 1)

    def run(self, seconds, until=None):
        """Run the fleet.

        :param seconds: duration in simulated seconds.
        :param until: callable that returns whether to stop earlier.
        """
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += STEP_S
            started_at = time.process_time()
            for name, failure_detector in self._detectors.items():
                if failure_detector.next_timer_at() <= self.now:
                    self._deliver(
                        name, failure_detector.run_due_timers(self.now)
                    )
            self.cpu_seconds += time.process_time() - started_at
            if until is not None and until():
                return

    def _deliver(self, sender, datagrams):
        queue = [(sender, m, d) for m, d in datagrams]
        while queue:
            origin, receiver, datagram = queue.pop(0)
            data = codec.encode_datagram(datagram)
            self.messages += 1
            self.bytes += len(data)
            received = codec.decode_datagram(data)
            self._pull_newer_version(receiver.name, received)
            answers = self._detectors[receiver.name].handle_datagram(
                received, self.now
            )
            queue += [(receiver.name, m, d) for m, d in answers]

    def _pull_newer_version(self, name, datagram):
        """Adopt the version of a datagram if it is newer, and count a pull."""
        if datagram.config_version > self.versions[name]:
            self.versions[name] = datagram.config_version
            self.pulls += 1

    def change(self, watchers):
        """Install a new version on a few instances.

        :param watchers: number of these instances.
        """
        for instance in self.members[:watchers]:
            self.versions[instance.name] = 2

    def is_everywhere(self):
        """Return whether all instances have the new version."""
        return min(self.versions.values()) == 2


def measure(count, seconds, watchers=4):
    """Return the measurements of one fleet size."""
    fleet = Fleet(count)
    fleet.run(seconds)
    duration_s = fleet.now
    row = {
        'instances': count,
        'messages_per_s': round(fleet.messages / count / duration_s, 3),
        'bytes_per_s': round(fleet.bytes / count / duration_s, 1),
        'cpu_percent': round(fleet.cpu_seconds / count / duration_s * 100, 4),
        'view_bytes': len(view.encode(view.View(1, fleet.members))),
    }
    fleet.change(watchers)
    changed_at = fleet.now
    fleet.run(30, until=fleet.is_everywhere)
    row['change_everywhere_s'] = round(fleet.now - changed_at, 2)
    row['pulls_per_instance'] = round(fleet.pulls / count, 3)
    return row


def main(sizes=SIZES, seconds=5, out='docs/measurements'):
    """Measure all fleet sizes and write JSON and a plot.

    :param sizes: numbers of instances.
    :param seconds: simulated seconds for each size.
    :param out: folder of the results.
    """
    rows = []
    for count in sizes if isinstance(sizes, (tuple, list)) else [sizes]:
        rows.append(measure(count, seconds))
        print(json.dumps(rows[-1]), flush=True)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    settings = {'seconds': seconds, 'step_s': STEP_S}
    (folder / 'gossip.json').write_text(
        json.dumps({'settings': settings, 'results': rows}, indent=1) + '\n'
    )
    plots.plot_lines(
        rows,
        'instances',
        ['messages_per_s', 'bytes_per_s', 'change_everywhere_s'],
        'membership by fleet size',
        folder / 'gossip.png',
    )
