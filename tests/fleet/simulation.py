"""Many registries that exchange heartbeats in memory on a simulated clock."""

import collections
import heapq
import itertools
import random

import msgspec

from savorycross.discovery import item
from savorycross.fleet import heartbeat
from savorycross.fleet import heartbeat_planner
from savorycross.fleet import peer_registry
from tests import null_log

# Delay of a datagram within a data centre and to another one, and the time
# until a busy instance handles it.
LOCAL_S = 0.0003
REMOTE_S = 0.0014
MAX_LAG_S = 0.03
# Tick of the runtime that wakes an instance later than it asked for.
MAX_OVERSLEEP_S = 0.02
# Makes instances of older versions exchange everything.
OLDER_MAX = 1_000_000


class Member:
    """One simulated instance.

    :param peer: its Peer.
    :param rng: random.Random.
    :param full_exchange_max: see PeerRegistry.
    :param is_older: whether its version sends to all and knows no probes.
    """

    def __init__(self, peer, rng, full_exchange_max, is_older=False):
        self.peer = peer
        self.registry = peer_registry.PeerRegistry(
            peer, null_log.NullLog(), full_exchange_max
        )
        self.planner = heartbeat_planner.HeartbeatPlanner(
            self.registry, (), self._describe, rng
        )
        self.flags = heartbeat.READY
        self.revision = 7
        self.frozen_until = 0.0
        self.is_older = is_older
        self.is_down = False

    def plan(self, now):
        """Return the heartbeats that are due, as its version sends them."""
        planned = self.planner.plan(now)
        if not self.is_older:
            return planned
        return [(a, _strip(m)) for a, m in planned]

    def receive(self, message, address, now):
        """Handle a heartbeat and return the answer, or None."""
        if self.is_older:
            message = _strip(message)
        self.registry.on_heartbeat(message, address, now)
        return self.planner.answer(message, address, now)

    def _describe(self):
        return {
            'flags': self.flags,
            'revision': self.revision,
            'era': 1,
            'has_store': True,
        }


def _strip(message):
    """Return a heartbeat without the fields that older versions lack."""
    return msgspec.structs.replace(
        message,
        expects=heartbeat.SENDS_TO_ALL,
        suspicions=(),
        newest=None,
        older_age_ms=None,
        sequence=0,
        rows=tuple(
            msgspec.structs.replace(r, store_state=0, sequence=0)
            for r in message.rows
        ),
    )


class Simulation:
    """Instances in data centres, with links that lose datagrams.

    ``sent_bytes`` and ``rows`` count per instance, by name.

    :param count: number of instances.
    :param data_centres: number of data centres.
    :param full_exchange_max: see PeerRegistry.
    :param older: number of instances of an older version.
    :param max_lag_s: longest time for which a datagram waits to be read.
    """

    def __init__(
        self,
        count,
        data_centres=3,
        full_exchange_max=peer_registry.FULL_EXCHANGE_MAX,
        seed=1,
        older=0,
        max_lag_s=MAX_LAG_S,
    ):
        self.now = 100.0
        self.loss = 0.0
        self.max_lag_s = max_lag_s
        self.cut = frozenset()
        self.sent_bytes = collections.Counter()
        self.received_rows = collections.Counter()
        self.largest = 0
        self._full_exchange_max = full_exchange_max
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._by_address = {}
        self.members = {}
        for n in range(count):
            self.add(f'i{n}', f'dc{n % data_centres}', n, is_older=n < older)
        self.introduce()

    def add(self, name, data_centre, number, started_at=1, is_older=False):
        """Start an instance."""
        address = (f'10.0.{number // 250}.{number % 250 + 1}', 7740)
        peer = heartbeat.Peer(name, started_at, data_centre, address, address)
        member = Member(
            peer,
            random.Random(f'{name}/{self._rng.random()}'),
            OLDER_MAX if is_older else self._full_exchange_max,
            is_older,
        )
        self.members[name] = member
        self._by_address[address] = member
        first_s = self._rng.random() * peer_registry.HEARTBEAT_INTERVAL_S
        self._schedule(self.now + first_s, self._plan, member)
        return member

    def introduce(self):
        """Let each instance know of each other one, as the store tells."""
        for member in self.members.values():
            for other in self.members.values():
                member.registry.register(other.peer, self.now)

    def run(self, seconds):
        """Run for a number of seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def end(self, *names):
        """End instances without notice."""
        for name in names:
            self.members[name].is_down = True

    def stop(self, name):
        """Let an instance announce that it stops."""
        member = self.members[name]
        member.flags = heartbeat.LEAVING
        for address, message in member.planner.plan_farewell(self.now):
            self._send(member, address, message)

    def freeze(self, name, seconds):
        """Let an instance do nothing for a number of seconds."""
        self.members[name].frozen_until = self.now + seconds

    def live(self):
        """Return the Members that have not ended."""
        return [m for m in self.members.values() if not m.is_down]

    def count_namings(self, names):
        """Return how many live instances name any of some instances."""
        ids = [self.members[name].peer.id for name in names]
        return sum(
            any(self._is_named(m.registry, id_) for id_ in ids)
            for m in self.live()
        )

    def _is_named(self, registry, id_):
        state = registry.find_state(id_)
        return (
            state is not None
            and state.flags == heartbeat.READY
            and registry.detector.is_alive(state, self.now)
        )

    def count_wrong(self):
        """Return the wrong entries in all views, and those looked at."""
        serving = {
            m.peer.name for m in self.live() if m.flags == heartbeat.READY
        }
        wrong = 0
        live = self.live()
        for member in live:
            seen = {p.name for p in member.registry.serving_peers(self.now)}
            seen |= serving & {member.peer.name}
            wrong += len(serving.symmetric_difference(seen))
        return wrong, len(live) * len(self.members)

    def seconds_until(self, condition, limit_s, step_s=0.1):
        """Return the seconds until a condition holds, or the limit."""
        start = self.now
        while self.now - start < limit_s and not condition():
            self.run(step_s)
        return round(self.now - start, 2)

    def is_ahead_known(self, revision):
        """Return whether all instances can copy a revision."""
        wanted = item.Revision(1, revision)
        return all(
            m.revision >= revision
            or (
                (ahead := m.registry.find_ahead(item.Revision(1, 7), self.now))
                is not None
                and ahead.revision >= wanted
            )
            for m in self.live()
        )

    def _schedule(self, at, call, *arguments):
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def _plan(self, member):
        if member.is_down:
            return
        if member.frozen_until > self.now:
            self._schedule(member.frozen_until, self._plan, member)
            return
        for address, message in member.plan(self.now):
            self._send(member, address, message)
        late_s = self._rng.random() * MAX_OVERSLEEP_S
        self._schedule(
            self.now + member.planner.interval_s + late_s, self._plan, member
        )

    def _send(self, member, address, message):
        size = len(heartbeat.encode(message))
        self.sent_bytes[member.peer.name] += size
        self.largest = max(self.largest, size)
        receiver = self._by_address.get(address)
        if receiver is None or self._rng.random() < self.loss:
            return
        centres = {member.peer.data_centre, receiver.peer.data_centre}
        if len(centres) > 1 and centres & self.cut:
            return
        delay_s = LOCAL_S if len(centres) == 1 else REMOTE_S
        delay_s += self._rng.random() * self.max_lag_s
        self._schedule(
            self.now + delay_s,
            self._receive,
            receiver,
            message,
            member.peer.address,
        )

    def _receive(self, receiver, message, address):
        if receiver.is_down:
            return
        if receiver.frozen_until > self.now:
            # A frozen instance reads its socket once it goes on.
            self._schedule(
                receiver.frozen_until + 0.001,
                self._receive,
                receiver,
                message,
                address,
            )
            return
        self.received_rows[receiver.peer.name] += len(message.rows)
        answer = receiver.receive(message, address, self.now)
        if answer is not None:
            self._send(receiver, address, answer)
