"""Several instances in one process, on any trio clock.

Fakes of the peer network, the heartbeat network and the wire towards
targets; the instances, their decisions and tasks are the product's own.
"""

import dataclasses
import heapq
import itertools
import math

import trio

from savorycross.daemon import instance as instances
from savorycross.entry import query_desk
from savorycross.membership import member as members
from savorycross.ownership import rendezvous
from savorycross.plan import inventory
from savorycross.relay import job as jobs
from savorycross.relay import policy as policies

HOP_S = 0.001
CONNECT_S = 0.005
POLL_INTERVAL_S = 0.5
WALL_OFFSET_S = 1_000_000.0
ANSWER_GRACE_S = 0.25
_LOST = jobs.AttemptResult(jobs.Status.LOST)
_UNSENT = jobs.AttemptResult(jobs.Status.UNSENT)
_STATUS = {
    200: jobs.Status.OK,
    409: jobs.Status.VERSION_GONE,
    429: jobs.Status.REFUSED,
    499: jobs.Status.CANCELLED,
    503: jobs.Status.REFUSED,
}


class DelayLine:
    """Calls functions after a delay, in the order of their times."""

    def __init__(self):
        self._heap = []
        self._order = itertools.count()
        self._wake = trio.Event()

    def post(self, delay_s, call, *args):
        """Call a function after a delay in seconds."""
        when = trio.current_time() + delay_s
        heapq.heappush(self._heap, (when, next(self._order), call, args))
        self._wake.set()

    async def run(self):
        """Make the calls until cancelled."""
        while True:
            when = self._heap[0][0] if self._heap else math.inf
            if when > trio.current_time():
                self._wake = trio.Event()
                with trio.move_on_at(when):
                    await self._wake.wait()
                continue
            _, _, call, args = heapq.heappop(self._heap)
            call(*args)


class FakePeers:
    """The peer network of one instance."""

    def __init__(self, fabric, found):
        self._fabric = fabric
        self._own = found
        self._names = {}
        self._retired = {}

    def reconcile(self, found):
        """Keep links to these members, and to former ones while they run."""
        wanted = {m.name: m for m in found if m.name != self._own.own.name}
        fresh = [n for n in wanted if n not in self._names]
        former = {**self._retired, **self._names}
        self._retired = {n: m for n, m in former.items() if n not in wanted}
        self._names = wanted
        for name in fresh:
            self._fabric.line.post(HOP_S, self._own.on_peer_up, name)

    def is_linked(self, name, incarnation):
        """Tell whether a process of an instance can be sent to."""
        found = self._names.get(name) or self._retired.get(name)
        if found is None or found.incarnation != incarnation:
            return False
        return self._fabric.runs(found)

    def send(self, name, message):
        """Queue a message; return False if it cannot be sent."""
        own = self._own.own.name
        if name == own:
            self._own.on_message(own, message)
            return True
        real = self._fabric.resolve(name)
        found = self._names.get(name) or self._retired.get(name)
        if found is None or self._fabric.is_cut(own, real):
            return False
        self._fabric.line.post(HOP_S, self._fabric.deliver, own, real, message)
        return True


class FakeDatagrams:
    """The heartbeat network of one instance."""

    def __init__(self, fabric, found):
        self._fabric = fabric
        self._own = found

    async def send(self, member, datagram):
        """Send a message, unless the way is cut."""
        await trio.lowlevel.checkpoint()
        own = self._own.own.name
        if self._fabric.is_cut(own, member.name):
            return
        self._fabric.line.post(
            HOP_S, self._fabric.deliver_datagram, own, member, datagram
        )


@dataclasses.dataclass
class _Connection:
    """A fake connection to a target's process."""

    boot: str


class FakeWire:
    """The wire of one instance towards all targets.

    A connection belongs to one process of its target; when that restarts,
    connections in use lose their requests, idle ones are reported.
    """

    def __init__(self, fabric, found):
        self._fabric = fabric
        self._own = found
        self._targets = {}
        self._idle = {}
        self._scopes = {}

    def reconcile(self, targets):
        """Poll just these declared targets."""
        wanted = {t.name: t for t in targets}
        for name in list(self._targets):
            if name not in wanted:
                self._scopes.pop(name).cancel()
                self._idle.pop(name, None)
        for name in wanted:
            if name not in self._targets:
                self._scopes[name] = trio.CancelScope()
                self._idle[name] = []
                self._own.nursery.start_soon(self._poll, name)
        self._targets = wanted

    async def send(self, action):
        """Send an attempt in a task of its own."""
        await trio.lowlevel.checkpoint()
        if action.target not in self._targets:
            self._own.on_result(action.attempt_id, _UNSENT)
            return
        self._own.nursery.start_soon(self._attempt, action)

    async def cancel(self, action):
        """Ask the target to stop an attempt."""
        await trio.lowlevel.checkpoint()
        model = self._fabric.targets[action.target]
        key = self._key(action.attempt_id)
        self._fabric.line.post(HOP_S, model.cancel, key)

    def target_restarted(self, name, boot):
        """Idle connections to a restarted target are reset."""
        if self._idle.get(name):
            self._idle[name].clear()
        if name in self._targets:
            self._own.on_connection_lost(name, boot)

    def _key(self, attempt_id):
        return f'{self._own.own.name}.{attempt_id}'

    async def _poll(self, name):
        with self._scopes[name]:
            while True:
                await trio.sleep(2 * HOP_S)
                if self._reaches(name):
                    self._state(name)
                await trio.sleep(POLL_INTERVAL_S)

    def _reaches(self, name):
        frozen = self._fabric.targets[name].faults.frozen
        return not frozen and not self._fabric.is_cut(self._own.own.name, name)

    def _state(self, name):
        """Hand over what a target states of itself."""
        model = self._fabric.targets[name]
        holdings = tuple(
            inventory.Holding(inventory.Snapshot(*snapshot), *held)
            for snapshot, held in sorted(model.holdings.items())
        )
        self._own.on_inventory(
            inventory.TargetInventory(
                name,
                model.boot,
                model.warm,
                model.draining,
                holdings,
                self._own.clock.tick(),
            )
        )

    async def _attempt(self, action):
        result = _UNSENT
        grace = trio.CancelScope(deadline=action.until + ANSWER_GRACE_S)
        with grace:
            result = await self._exchange(action)
        if grace.cancelled_caught:
            result = jobs.AttemptResult(jobs.Status.TIMEOUT)
        self._own.on_result(action.attempt_id, result)

    async def _exchange(self, action):
        """Carry one request and its answer."""
        name = action.target
        model = self._fabric.targets[name]
        connection = await self._connect(name, action)
        if connection is None:
            return _UNSENT
        remaining = action.until - trio.current_time()
        if remaining <= 0:
            return _UNSENT
        await trio.sleep(HOP_S)
        if connection.boot != model.boot:
            return _LOST
        answer = await self._ask(model, action, remaining)
        await trio.sleep(HOP_S)
        own = self._own.own.name
        if answer.code == 409:
            self._state(name)
        bad = answer.lost or answer.cut or answer.crossed
        if bad or self._fabric.is_cut(own, name):
            return _LOST
        if name in self._idle and connection.boot == model.boot:
            self._idle[name].append(connection)
        return jobs.AttemptResult(
            _STATUS[answer.code], answer.body, connection.boot, model.warm
        )

    async def _connect(self, name, action):
        """Return a connection, or None if the target may not be sent to."""
        idle = self._idle.get(name, [])
        while idle:
            found = idle.pop()
            if not action.boot or found.boot == action.boot:
                return found
        await trio.sleep(CONNECT_S + 2 * HOP_S)
        if not self._reaches(name):
            return None
        model = self._fabric.targets[name]
        self._state(name)
        if action.boot and model.boot != action.boot:
            return None
        return _Connection(model.boot)

    async def _ask(self, model, action, remaining):
        job = action.job
        body = {
            'request_id': job.request_id,
            'attempt': self._key(action.attempt_id),
            'shard': job.number,
            'version': job.version,
            'epoch': job.epoch,
            'deadline_ms': remaining * 1000,
        }
        if job.repeatable:
            return await model.search(body)
        return await model.book(body)


class Fabric:
    """All instances, targets and the platform of one deployment.

    :param platform: PlatformModel.
    :param targets: TargetModel by name.
    :param wall_offset: seconds between the clock and the wall clock.
    """

    def __init__(
        self,
        platform,
        targets,
        nursery,
        make_policy=policies.Policy,
        make_ownership=None,
        wall_offset=WALL_OFFSET_S,
        seed=0,
    ):
        self.platform = platform
        self.targets = targets
        self.instances = {}
        self.scopes = {}
        self.line = DelayLine()
        self._nursery = nursery
        self._make_policy = make_policy
        self._make_ownership = make_ownership
        self._wall_offset = wall_offset
        self._seed = seed
        self._cuts = set()
        self._seeds = {}
        self._request_ids = query_desk.make_request_ids('fabric')

    def wall(self):
        """Return the wall clock of all instances, in seconds."""
        return trio.current_time() + self._wall_offset

    def cut(self, first, second):
        """Cut the way between two instances, or one and a target."""
        self._cuts.add(frozenset((first, second)))
        for name, other in ((first, second), (second, first)):
            if name in self.instances:
                self.line.post(0, self._report_loss, name, other)

    def heal(self):
        """Mend all ways."""
        self._cuts.clear()
        for found in self.instances.values():
            for name in self.instances:
                if name != found.own.name:
                    self.line.post(HOP_S, found.on_peer_up, name)

    def is_cut(self, first, second):
        """Tell whether nothing passes between two places."""
        return frozenset((first, second)) in self._cuts

    def resolve(self, name):
        """Return the name of the instance behind a seed's name."""
        return self._seeds.get(name, name)

    def runs(self, member):
        """Tell whether this very process of an instance runs."""
        found = self.instances.get(member.name)
        return found is not None and found.own == member

    def deliver(self, sender, name, message):
        """Hand over a message, unless the way is cut by now."""
        found = self.instances.get(name)
        if found is not None and not self.is_cut(sender, name):
            found.on_message(sender, message)

    def deliver_datagram(self, sender, member, datagram):
        """Hand over a heartbeat message."""
        found = self.instances.get(member.name)
        if found is not None and not self.is_cut(sender, member.name):
            found.on_datagram(datagram)

    def start(self, name, data_centre, store=None, seeds=()):
        """Start an instance and return it.

        :param store: its way to the platform; the platform itself if None.
        """
        number = 1 + len(self._seeds)
        own = members.Member(
            name,
            data_centre,
            '127.0.0.1',
            number,
            1000 + number,
            members.make_incarnation(self.wall()),
        )
        self._seeds[f'@{name}'] = name
        ownership = (
            self._make_ownership(name)
            if self._make_ownership
            else rendezvous.RendezvousOwnership()
        )
        outside = instances.Surroundings(
            store=store or self.platform,
            make_peers=lambda found: FakePeers(self, found),
            make_datagrams=lambda found: FakeDatagrams(self, found),
            make_wire=lambda found: FakeWire(self, found),
            wall=self.wall,
            secret=name.encode(),
            ownership=ownership,
            policy=self._make_policy(),
            seeds=tuple(
                dataclasses.replace(own, name=f'@{s}', incarnation=0)
                for s in seeds
            ),
            seed=self._seed,
        )
        self._nursery.start_soon(self._run, name, own, outside)
        return own

    async def _run(self, name, own, outside):
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            async with trio.open_nursery() as nursery:
                found = instances.Instance(own, outside, nursery)
                self.instances[name] = found
                nursery.start_soon(found.run)

    def kill(self, name):
        """End an instance at once."""
        self.scopes.pop(name).cancel()
        del self.instances[name]
        for other in self.instances.values():
            self.line.post(HOP_S, other.on_peer_lost, name)

    def restart_target(self, name):
        """Restart a target: its connections break, and it is cold."""
        boot = self.targets[name].boot
        self.targets[name].restart()
        for found in self.instances.values():
            self.line.post(HOP_S, found.wire.target_restarted, name, boot)

    def next_request_id(self):
        """Return a fresh request id."""
        return next(self._request_ids)

    def _report_loss(self, name, other):
        found = self.instances.get(name)
        if found is not None:
            found.on_peer_lost(other)
