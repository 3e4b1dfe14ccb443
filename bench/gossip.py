"""Cost of membership and of spreading a change, by fleet size.

Plays the product's detectors over a loss-free exchange of datagrams in
memory; counts messages and bytes per instance, processor time per instance,
and how long a change takes to reach all.
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
    """Instances that exchange heartbeats; a change spreads with them."""

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
        self.seconds = 0.0
        self.now = 0.0
        self._random = random.Random(seed)
        self._detectors = {}
        for number, found in enumerate(self.members):
            made = detector.FailureDetector(
                found, self._header_of(found.name), seed=number
            )
            made.set_members(self.members, 0.0)
            made._next_probe_at = self._random.random() * 0.25
            self._detectors[found.name] = made

    def _header_of(self, name):
        return lambda: detector.Header(1, self.versions[name], 0.0, False, 1)

    def run(self, seconds, until=None):
        """Play for some seconds, or until a condition holds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            begun = time.process_time()
            for name, found in self._detectors.items():
                if found.next_timer_at() <= self.now:
                    self._deliver(name, found.run_due_timers(self.now))
            self.seconds += time.process_time() - begun
            if until is not None and until():
                return

    def _deliver(self, sender, out):
        queue = [(sender, m, d) for m, d in out]
        while queue:
            origin, to, datagram = queue.pop(0)
            data = codec.encode_datagram(datagram)
            self.messages += 1
            self.bytes += len(data)
            received = codec.decode_datagram(data)
            self._hear(to.name, received)
            answers = self._detectors[to.name].handle_datagram(
                received, self.now
            )
            queue += [(to.name, m, d) for m, d in answers]

    def _hear(self, name, datagram):
        """Pull a newer version from whoever has it."""
        if datagram.config_version > self.versions[name]:
            self.versions[name] = datagram.config_version
            self.pulls += 1

    def change(self, watchers):
        """Put a new version on a few instances."""
        for found in self.members[:watchers]:
            self.versions[found.name] = 2

    def is_everywhere(self):
        """Tell whether all instances have the new version."""
        return min(self.versions.values()) == 2


def measure(count, seconds, watchers=4):
    """Return the figures for one fleet size."""
    fleet = Fleet(count)
    fleet.run(seconds)
    span = fleet.now
    row = {
        'instances': count,
        'messages_per_s': round(fleet.messages / count / span, 3),
        'bytes_per_s': round(fleet.bytes / count / span, 1),
        'cpu_percent': round(fleet.seconds / count / span * 100, 4),
        'view_bytes': len(view.encode(view.View(1, fleet.members))),
    }
    fleet.change(watchers)
    begun = fleet.now
    fleet.run(30, until=fleet.is_everywhere)
    row['change_everywhere_s'] = round(fleet.now - begun, 2)
    row['pulls_per_instance'] = round(fleet.pulls / count, 3)
    return row


def main(sizes=SIZES, seconds=5, out='docs/measurements'):
    """Measure all fleet sizes and write JSON and a plot."""
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
