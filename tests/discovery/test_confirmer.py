"""Confirmations of the configuration, with a store that fails.

A configuration here is the name of the only key that holds.
"""

import pytest
import trio

from savorycross.discovery import confirmer
from savorycross.discovery import mirror
from savorycross.workspace import freshness
from tests.discovery import fakes
from tests import recording_log

KEY = 'op/config'
BOUND_S = 5.0
# Time for which an instance must serve once its store cannot be reached.
MUST_SERVE_S = 0.6 * BOUND_S


class World:
    """An instance that confirms, and its store.

    ``frozen_s`` is the time for which its process was stopped so far.
    """

    def __init__(self, nursery):
        self.store = fakes.FakeStore()
        self.log = recording_log.RecordingLog()
        self.frozen_s = 0.0
        self.is_listed = True
        self.has_workspaces = True
        self.in_force = None
        self.mirror = mirror.Mirror(self._on_change)
        self.freshness = freshness.Freshness(BOUND_S)
        self.write(b'k1')
        self.mirror.apply(self.store.items[KEY], self.now())
        self.mirror.revision = fakes.at(self.store.revision)
        self.mirror.is_complete = True
        self.tested = confirmer.Confirmer(
            self.store,
            KEY,
            self.mirror,
            self.freshness,
            self.log,
            self.now,
            lambda: self.is_listed,
            lambda: self.has_workspaces,
            lambda: None,
        )
        nursery.start_soon(self.tested.run)

    def _on_change(self, key, item):
        self.in_force = item.value

    def now(self):
        """Return the time, which goes on while the process is stopped."""
        return trio.current_time() + self.frozen_s

    def write(self, value):
        """Write a configuration."""
        self.store.put_value(KEY, value)

    def is_fresh(self):
        """Return whether keys may be judged now."""
        return self.freshness.is_fresh(self.now())

    def runs(self, key):
        """Return whether a request with a key that is sent now would run."""
        return self.is_fresh() and self.in_force == key

    async def find_last_run(self, key, seconds):
        """Return the seconds after which a request last ran.

        :param seconds: time for which requests are sent.
        """
        started_at = self.now()
        last_s = 0.0
        while self.now() - started_at < seconds:
            if self.runs(key):
                last_s = self.now() - started_at
            await trio.sleep(0.05)
        return last_s


@pytest.fixture
async def world(nursery):
    tested = World(nursery)
    await trio.sleep(2.1)
    assert tested.is_fresh()
    return tested


async def test_confirmations_are_short_and_few(world, autojump_clock):
    world.store.calls.clear()
    await trio.sleep(60)
    assert set(world.store.calls) == {'changes'}
    assert 30 <= len(world.store.calls) <= 41
    assert world.is_fresh()


@pytest.mark.parametrize('idle', ['is_listed', 'has_workspaces'])
async def test_instance_that_needs_no_keys_reads_nothing(
    world, autojump_clock, idle
):
    setattr(world, idle, False)
    await trio.sleep(freshness.WANTED_S + 1)
    world.store.calls.clear()
    await trio.sleep(60)
    assert not world.store.calls
    assert not world.log.fields('keys.unconfirmed')


# Guards against a first request that waits for the next second.
async def test_request_is_confirmed_at_once_after_a_quiet_time(
    world, autojump_clock
):
    world.is_listed = False
    await trio.sleep(60)
    world.freshness.want(world.now())
    assert not world.is_fresh()
    world.tested.ask()
    await trio.sleep(0.01)
    assert world.is_fresh()


async def test_newer_configuration_is_applied_by_its_confirmation(
    world, autojump_clock
):
    world.write(b'k2')
    await trio.sleep(1.8)
    assert world.runs(b'k2')


# Guards against a withdrawn key that works for as long as the store does not
# answer, and against callers that are refused early then.
@pytest.mark.parametrize('failure', ['is_down', 'is_silent'])
async def test_withdrawn_key_ends_while_the_store_is_lost(
    world, autojump_clock, failure
):
    setattr(world.store, failure, True)
    world.write(b'k2')
    last_s = await world.find_last_run(b'k1', 20)
    assert MUST_SERVE_S <= last_s <= BOUND_S
    (fields,) = world.log.fields('keys.unconfirmed')
    assert fields['reason']
    setattr(world.store, failure, False)
    await trio.sleep(1.5)
    assert world.runs(b'k2')
    assert len(world.log.fields('keys.confirmed')) == 1


# Guards against an answer that took longer than the bound and counts from its
# arrival.
async def test_answers_later_than_the_bound_confirm_nothing(
    world, autojump_clock
):
    world.store.delay_s = BOUND_S + 1
    assert await world.find_last_run(b'k1', 30) <= BOUND_S


async def test_slow_store_keeps_keys_confirmed(world, autojump_clock):
    world.store.delay_s = 2.5
    world.store.calls.clear()
    assert await world.find_last_run(b'k1', 30) > 29.9
    assert len(world.store.calls) <= 31


# Guards against a process that was stopped after its read, and takes the
# answer for a new one when it goes on.
async def test_answer_that_a_freeze_delayed_confirms_nothing(
    world, autojump_clock
):
    world.store.delay_s = 0.9
    await trio.sleep(3.0)
    world.frozen_s += BOUND_S
    assert not world.is_fresh()
    world.write(b'k2')
    while not world.is_fresh():
        await trio.sleep(0.01)
    assert world.in_force == b'k2'


# Guards against a watch that continues the numbers of another history, and so
# misses a change there.
async def test_restored_store_confirms_once_its_configuration_is_read(
    world, autojump_clock
):
    copy = world.store.make_copy()
    for n in range(10):
        world.store.put_value('other', b'%d' % n)
    await trio.sleep(1.5)
    world.store.restore(copy)
    world.write(b'k2')
    for n in range(20):
        world.store.put_value('other', b'%d' % n)
    world.store.calls.clear()
    await trio.sleep(1.5)
    assert 'read' in world.store.calls
    assert world.runs(b'k2')


async def test_answer_of_an_era_that_has_ended_confirms_nothing(
    world, autojump_clock
):
    world.store.delay_s = 0.5
    await trio.sleep(3)
    age_s = world.freshness.age_s(world.now())
    world.mirror.revision = fakes.at(1, era=2)
    await trio.sleep(2)
    assert world.freshness.age_s(world.now()) >= age_s + 1.9


async def test_configuration_is_read_once_the_history_is_gone(
    world, autojump_clock
):
    world.is_listed = False
    await trio.sleep(60)
    world.write(b'k2')
    world.store.put_value('other', b'')
    world.store.drop_history()
    world.is_listed = True
    await trio.sleep(0.5)
    assert world.runs(b'k2')


async def test_key_that_is_withdrawn_and_granted_again_works(
    world, autojump_clock
):
    for value in (b'k2', b'k1'):
        world.write(value)
        await trio.sleep(1.8)
        assert world.runs(value)
