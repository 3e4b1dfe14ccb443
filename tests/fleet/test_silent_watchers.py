"""Instances that depend on others to hear of changes in the store.

Heartbeats and copies between them and calls to the store are simulated.
"""

import random

import pytest
import trio

from savorycross.discovery import follower
from savorycross.discovery import mirror
from savorycross.fleet import heartbeat_planner
from savorycross.fleet import mirror_sync
from savorycross.fleet import peer_registry
from savorycross.fleet import watch_duty
from tests.discovery import fakes
from tests.fleet import test_peer_registry
from tests import null_log

RECOVERY_S, CHANGE_DEADLINE_S = 5.0, 5.0
DATA_CENTRES = ('a', 'b', 'c')
DELAY_S = 0.001


class Synchronizer(mirror_sync.MirrorSynchronizer):
    """Copies from other members without a connection."""

    def __init__(self, member, world):
        super().__init__(
            member.mirror,
            member.follower,
            member.duty,
            member.registry,
            null_log.NullLog(),
            lambda: None,
            None,
        )
        self._world = world

    async def _fetch_snapshot(self, peer, path):
        await trio.sleep(DELAY_S)
        source = self._world.find(peer.address).mirror
        _, _, after = path.partition(b'?after=')
        return mirror_sync.make_snapshot(
            source, mirror_sync._parse_revision(after), trio.current_time()
        )


class Member:
    """An instance with a way to the store that can be lost silently."""

    def __init__(self, world, name, seed):
        self._world = world
        self._rng = random.Random(seed)
        self.is_lost = False
        self.value = None
        self.peer = test_peer_registry._peer(name, data_centre=name[0])
        self.mirror = mirror.Mirror(self._on_change)
        self.registry = peer_registry.PeerRegistry(
            self.peer,
            null_log.NullLog(),
            on_current=self.mirror.note_peer_current,
        )
        self.planner = heartbeat_planner.HeartbeatPlanner(
            self.registry, (), self._describe, self._rng
        )
        self.duty = watch_duty.WatchDuty(
            self.peer,
            self.registry,
            lambda: self.follower.is_connected,
            starts_at=trio.current_time() + watch_duty.SETTLE_S,
            read_age_s=self.mirror.age_s,
            change_deadline_s=CHANGE_DEADLINE_S,
        )
        self.follower = follower.Follower(
            self,
            self.mirror,
            null_log.NullLog(),
            follower.make_timing(RECOVERY_S, CHANGE_DEADLINE_S),
            is_on_duty=self.duty.is_on,
        )
        self.synchronizer = Synchronizer(self, world)

    def _on_change(self, key, changed):
        self.value = changed.value

    def _describe(self):
        return {
            'flags': 1,
            'revision': self.mirror.revision.number,
            'era': self.mirror.revision.era,
            'has_store': self.follower.is_connected,
            'age_ms': self.mirror.age_ms(trio.current_time()),
        }

    async def read_page(self, after):
        """Return what the store does, unless the way to it is lost."""
        return await self._call(self._world.store.read_page, after)

    async def watch(self, revision, wait_s):
        """Return what the store does, unless the way to it is lost."""
        return await self._call(self._world.store.watch, revision, wait_s)

    async def _call(self, call, *arguments):
        page = None
        if not self.is_lost:
            page = await call(*arguments)
        if self.is_lost:
            await trio.sleep_forever()
        return page

    async def exchange(self):
        """Send heartbeats until cancelled."""
        while True:
            for address, message in self.planner.plan(trio.current_time()):
                self._world.send(self.peer.address, address, message)
            await trio.sleep(self.planner.interval_s)


class World:
    """Instances of three data centres that exchange heartbeats."""

    def __init__(self, nursery, count):
        self._nursery = nursery
        self.store = fakes.FakeStore()
        self.store.put_value('key', b'old')
        self.members = [
            Member(self, f'{data_centre}{n}', n)
            for data_centre in DATA_CENTRES
            for n in range(count)
        ]
        self._by_address = {m.peer.address: m for m in self.members}
        for member in self.members:
            for other in self.members:
                member.registry.register(other.peer, trio.current_time())
            nursery.start_soon(member.exchange)
            nursery.start_soon(member.follower.run)
            nursery.start_soon(member.synchronizer.run)

    def find(self, address):
        """Return the Member that has an address."""
        return self._by_address[address]

    def send(self, sender, address, message):
        """Deliver a heartbeat, and its answer, each after a delay."""
        self._nursery.start_soon(self._deliver, sender, address, message)

    async def _deliver(self, sender, address, message):
        await trio.sleep(DELAY_S)
        member, now = self.find(address), trio.current_time()
        member.registry.on_heartbeat(message, sender, now)
        answer = member.planner.answer(message, sender, now)
        if answer is not None:
            self.send(address, sender, answer)

    @property
    def watching(self):
        """The Members whose watch waits at the store."""
        return [m for m in self.members if m.follower.is_watching]

    async def run_until_watching(self):
        """Return the Members that have just begun to watch for the rest."""
        await trio.sleep(6)
        self.store.put_value('key', b'older')
        await trio.sleep(1.5)
        return self.watching


# Guards against instances that take the silence of those that watch for that
# of the store.
@pytest.mark.parametrize('others_lost', [0, 27])
async def test_change_is_in_force_though_all_that_watch_have_lost_the_store(
    nursery, autojump_clock, others_lost
):
    world = World(nursery, 11)
    watching = await world.run_until_watching()
    assert len(watching) == watch_duty.WATCHERS * len(DATA_CENTRES)
    others = [m for m in world.members if m not in watching]
    for member in [*watching, *others[: max(others_lost - 2, 0)]]:
        member.is_lost = True
    world.store.put_value('key', b'new')
    await trio.sleep(CHANGE_DEADLINE_S - follower.APPLY_MARGIN_S)
    reaching = [m for m in world.members if not m.is_lost]
    assert {m.value for m in reaching} == {b'new'}


# Guards against reads of the store by each of many instances.
@pytest.mark.parametrize('count', [3, 11, 20])
async def test_few_instances_read_a_store_without_changes(
    nursery, autojump_clock, count
):
    world = World(nursery, count)
    await world.run_until_watching()
    world.store.calls.clear()
    await trio.sleep(30)
    timing = follower.make_timing(RECOVERY_S, CHANGE_DEADLINE_S)
    watches = len(world.watching) * 30 / timing.wait_s
    assert len(world.store.calls) <= watches + 30
