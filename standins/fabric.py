"""Runs several instances in one process, on any trio clock.

The peer network, the heartbeat network and the connections to targets are
fakes; the instances, their decisions and their tasks are the real ones.
"""

import dataclasses
import heapq
import itertools
import math

import trio

from savorycross.daemon import instance as instances
from savorycross.entry import query_coordinator
from savorycross.membership import member as members
from savorycross.ownership import rendezvous
from savorycross.plan import inventory
from savorycross.relay import job as jobs
from savorycross.relay import policy as policies

NETWORK_DELAY_S = 0.001
CONNECT_DELAY_S = 0.005
POLL_INTERVAL_S = 0.5
WALL_OFFSET_S = 1_000_000.0
REPLY_GRACE_S = 0.25
_LOST = jobs.AttemptResult(jobs.Status.LOST)
_UNSENT = jobs.AttemptResult(jobs.Status.UNSENT)
_STATUS = {
    200: jobs.Status.OK,
    409: jobs.Status.VERSION_GONE,
    429: jobs.Status.REFUSED,
    499: jobs.Status.CANCELLED,
    503: jobs.Status.REFUSED,
}


class DelayedCalls:
    """Calls functions after a delay, in the order in which they fall due."""

    def __init__(self):
        self._heap = []
        self._order = itertools.count()
        self._wake = trio.Event()

    def post(self, delay_s, function, *args):
        """Schedule a call.

        :param delay_s: delay in seconds.
        """
        due_at = trio.current_time() + delay_s
        heapq.heappush(self._heap, (due_at, next(self._order), function, args))
        self._wake.set()

    async def run(self):
        """Make the calls as they fall due, until cancelled."""
        while True:
            due_at = self._heap[0][0] if self._heap else math.inf
            if due_at > trio.current_time():
                self._wake = trio.Event()
                with trio.move_on_at(due_at):
                    await self._wake.wait()
                continue
            _, _, function, args = heapq.heappop(self._heap)
            function(*args)


class FakePeerNetwork:
    """The connections of one instance to its peers."""

    def __init__(self, fabric, instance):
        self._fabric = fabric
        self._instance = instance
        self._members = {}
        self._former_members = {}

    def reconcile(self, members):
        """Keep links to these members, and to former ones while they run."""
        current = {
            m.name: m for m in members if m.name != self._instance.own.name
        }
        added = [n for n in current if n not in self._members]
        known = {**self._former_members, **self._members}
        self._former_members = {
            n: m for n, m in known.items() if n not in current
        }
        self._members = current
        for name in added:
            self._fabric.delayed_calls.post(
                NETWORK_DELAY_S, self._instance.on_peer_up, name
            )

    def is_linked(self, name, incarnation):
        """Return whether messages can be sent to an instance's process."""
        member = self._members.get(name) or self._former_members.get(name)
        if member is None or member.incarnation != incarnation:
            return False
        return self._fabric.is_running(member)

    def send(self, name, message):
        """Queue a message; return False if it cannot be sent."""
        own_name = self._instance.own.name
        if name == own_name:
            self._instance.on_message(own_name, message)
            return True
        receiver = self._fabric.resolve(name)
        member = self._members.get(name) or self._former_members.get(name)
        if member is None or self._fabric.is_cut(own_name, receiver):
            return False
        self._fabric.delayed_calls.post(
            NETWORK_DELAY_S, self._fabric.deliver, own_name, receiver, message
        )
        return True


class FakeDatagrams:
    """The heartbeat network of one instance."""

    def __init__(self, fabric, instance):
        self._fabric = fabric
        self._instance = instance

    async def send(self, member, datagram):
        """Send a heartbeat, unless the link is cut."""
        await trio.lowlevel.checkpoint()
        own_name = self._instance.own.name
        if self._fabric.is_cut(own_name, member.name):
            return
        self._fabric.delayed_calls.post(
            NETWORK_DELAY_S,
            self._fabric.deliver_datagram,
            own_name,
            member,
            datagram,
        )


@dataclasses.dataclass
class _Connection:
    """A fake connection to a process of a target.

    :param boot: id of the process.
    """

    boot: str


class FakeTargetClient:
    """The client of one instance for all targets.

    A connection belongs to one process of its target. When the target
    restarts, connections in use lose their requests and the loss of idle
    connections is reported.
    """

    def __init__(self, fabric, instance):
        self._fabric = fabric
        self._instance = instance
        self._targets = {}
        self._idle_connections = {}
        self._poll_scopes = {}

    def reconcile(self, targets):
        """Poll these declared targets and no others."""
        declared = {t.name: t for t in targets}
        for name in list(self._targets):
            if name not in declared:
                self._poll_scopes.pop(name).cancel()
                self._idle_connections.pop(name, None)
        for name in declared:
            if name not in self._targets:
                self._poll_scopes[name] = trio.CancelScope()
                self._idle_connections[name] = []
                self._instance.nursery.start_soon(self._poll, name)
        self._targets = declared

    async def send(self, action):
        """Send an attempt in its own task."""
        await trio.lowlevel.checkpoint()
        if action.target not in self._targets:
            self._instance.on_result(action.attempt_id, _UNSENT)
            return
        self._instance.nursery.start_soon(self._attempt, action)

    async def cancel(self, action):
        """Ask the target to stop an attempt."""
        await trio.lowlevel.checkpoint()
        model = self._fabric.targets[action.target]
        self._instance.relay.count_request(action.target)
        model.stated_rate.count(trio.current_time())
        attempt_key = self._attempt_key(action.attempt_id)
        self._fabric.delayed_calls.post(
            NETWORK_DELAY_S, model.cancel, attempt_key
        )

    def target_restarted(self, name, boot):
        """Close idle connections to a restarted target and report the loss."""
        if self._idle_connections.get(name):
            self._idle_connections[name].clear()
        if name in self._targets:
            self._instance.on_connection_lost(name, boot)

    def _attempt_key(self, attempt_id):
        return f'{self._instance.own.name}.{attempt_id}'

    async def _poll(self, name):
        with self._poll_scopes[name]:
            while True:
                await trio.sleep(2 * NETWORK_DELAY_S)
                if self._can_reach(name):
                    self._request_inventory(name)
                interval_s = self._instance.relay.check_interval_s(name)
                await trio.sleep(max(interval_s, POLL_INTERVAL_S))

    def _can_reach(self, name):
        frozen = self._fabric.targets[name].faults.frozen
        return not frozen and not self._fabric.is_cut(
            self._instance.own.name, name
        )

    def _request_inventory(self, name):
        """Ask a target for its inventory and give it to the instance."""
        self._instance.relay.count_request(name)
        self._fabric.targets[name].stated_rate.count(trio.current_time())
        self._report_inventory(name)

    def _report_inventory(self, name):
        """Give the instance the inventory of a target."""
        model = self._fabric.targets[name]
        holdings = tuple(
            inventory.Holding(inventory.Snapshot(*snapshot), *held_shards)
            for snapshot, held_shards in sorted(model.holdings.items())
        )
        self._instance.on_inventory(
            inventory.TargetInventory(
                name,
                model.boot,
                model.warm,
                model.draining,
                holdings,
                self._instance.clock.tick(),
                model.stated_rate.rate_per_s,
            ),
            trio.current_time() - 2 * NETWORK_DELAY_S,
        )

    async def _attempt(self, action):
        result = _UNSENT
        scope = trio.CancelScope(deadline=action.ends_at + REPLY_GRACE_S)
        with scope:
            result = await self._exchange(action)
        if scope.cancelled_caught:
            result = jobs.AttemptResult(jobs.Status.TIMEOUT)
        self._instance.on_result(action.attempt_id, result)

    async def _exchange(self, action):
        """Send a request and return the result of its answer."""
        name = action.target
        model = self._fabric.targets[name]
        connection = await self._connect(name, action)
        if connection is None:
            return _UNSENT
        remaining_s = action.ends_at - trio.current_time()
        if remaining_s <= 0:
            return _UNSENT
        await trio.sleep(NETWORK_DELAY_S)
        if connection.boot != model.boot:
            return _LOST
        model.stated_rate.count(trio.current_time())
        answer = await self._request(model, action, remaining_s)
        await trio.sleep(NETWORK_DELAY_S)
        own_name = self._instance.own.name
        if answer.code == 409:
            self._report_inventory(name)
        is_unusable = answer.lost or answer.cut or answer.crossed
        if is_unusable or self._fabric.is_cut(own_name, name):
            return _LOST
        if name in self._idle_connections and connection.boot == model.boot:
            self._idle_connections[name].append(connection)
        return jobs.AttemptResult(
            _STATUS[answer.code],
            answer.body,
            connection.boot,
            model.warm,
            model.stated_rate.rate_per_s,
        )

    async def _connect(self, name, action):
        """Return a connection, or None if the request must not be sent."""
        idle = self._idle_connections.get(name, [])
        while idle:
            connection = idle.pop()
            if not action.boot or connection.boot == action.boot:
                return connection
        await trio.sleep(CONNECT_DELAY_S + 2 * NETWORK_DELAY_S)
        if not self._can_reach(name):
            return None
        model = self._fabric.targets[name]
        self._request_inventory(name)
        if action.boot and model.boot != action.boot:
            return None
        return _Connection(model.boot)

    async def _request(self, model, action, remaining_s):
        job = action.job
        body = {
            'request_id': job.request_id,
            'attempt': self._attempt_key(action.attempt_id),
            'shard': job.number,
            'version': job.version,
            'epoch': job.epoch,
            'deadline_ms': remaining_s * 1000,
        }
        if job.repeatable:
            return await model.search(body)
        return await model.book(body)


class Fabric:
    """All instances, the targets and the platform of one deployment.

    :param platform: PlatformModel.
    :param targets: TargetModel by name.
    :param nursery: nursery of the tasks of all instances.
    :param make_policy: callable that returns the Policy of an instance.
    :param make_ownership: callable of an instance's name that returns its
        ownership; rendezvous hashing if None.
    :param wall_offset: seconds between the clock and the wall clock.
    :param seed: seed of the instances.
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
        self.delayed_calls = DelayedCalls()
        self._nursery = nursery
        self._make_policy = make_policy
        self._make_ownership = make_ownership
        self._wall_offset = wall_offset
        self._seed = seed
        self._cut_links = set()
        self._instance_by_seed_name = {}
        self._request_ids = query_coordinator.make_request_ids('fabric')

    def wall(self):
        """Return the wall clock of all instances, in seconds."""
        return trio.current_time() + self._wall_offset

    def cut(self, first, second):
        """Cut the link between two instances, or an instance and a target."""
        self._cut_links.add(frozenset((first, second)))
        for name, other in ((first, second), (second, first)):
            if name in self.instances:
                self.delayed_calls.post(0, self._report_peer_loss, name, other)

    def heal(self):
        """Restore all links."""
        self._cut_links.clear()
        for instance in self.instances.values():
            for name in self.instances:
                if name != instance.own.name:
                    self.delayed_calls.post(
                        NETWORK_DELAY_S, instance.on_peer_up, name
                    )

    def is_cut(self, first, second):
        """Return whether the link between two processes is cut."""
        return frozenset((first, second)) in self._cut_links

    def resolve(self, name):
        """Return the name of the instance that a seed's name stands for."""
        return self._instance_by_seed_name.get(name, name)

    def is_running(self, member):
        """Return whether this process of an instance runs."""
        instance = self.instances.get(member.name)
        return instance is not None and instance.own == member

    def deliver(self, sender, name, message):
        """Deliver a message, unless the link has been cut meanwhile."""
        instance = self.instances.get(name)
        if instance is not None and not self.is_cut(sender, name):
            instance.on_message(sender, message)

    def deliver_datagram(self, sender, member, datagram):
        """Deliver a heartbeat, unless the link has been cut meanwhile."""
        instance = self.instances.get(member.name)
        if instance is not None and not self.is_cut(sender, member.name):
            instance.on_datagram(datagram)

    def start(self, name, data_centre, store=None, seeds=()):
        """Start an instance and return it.

        :param store: client of the platform; the platform itself if None.
        :param seeds: names of instances to join by.
        """
        number = 1 + len(self._instance_by_seed_name)
        own = members.Member(
            name,
            data_centre,
            '127.0.0.1',
            number,
            1000 + number,
            members.make_incarnation(self.wall()),
        )
        self._instance_by_seed_name[f'@{name}'] = name
        ownership = (
            self._make_ownership(name)
            if self._make_ownership
            else rendezvous.RendezvousOwnership()
        )
        dependencies = instances.Dependencies(
            store=store or self.platform,
            make_peers=lambda instance: FakePeerNetwork(self, instance),
            make_datagrams=lambda instance: FakeDatagrams(self, instance),
            make_target_client=lambda instance: FakeTargetClient(
                self, instance
            ),
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
        self._nursery.start_soon(self._run, name, own, dependencies)
        return own

    async def _run(self, name, own, dependencies):
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            async with trio.open_nursery() as nursery:
                instance = instances.Instance(own, dependencies, nursery)
                self.instances[name] = instance
                nursery.start_soon(instance.run)

    def kill(self, name):
        """End an instance at once."""
        self.scopes.pop(name).cancel()
        del self.instances[name]
        for other in self.instances.values():
            self.delayed_calls.post(NETWORK_DELAY_S, other.on_peer_lost, name)

    def restart_target(self, name):
        """Restart a target: its connections break and its caches are cold."""
        boot = self.targets[name].boot
        self.targets[name].restart()
        for instance in self.instances.values():
            self.delayed_calls.post(
                NETWORK_DELAY_S,
                instance.target_client.target_restarted,
                name,
                boot,
            )

    def next_request_id(self):
        """Return a fresh request id."""
        return next(self._request_ids)

    def _report_peer_loss(self, name, other):
        instance = self.instances.get(name)
        if instance is not None:
            instance.on_peer_lost(other)
