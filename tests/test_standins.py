import pytest

from savorycross import errors
from savorycross.forward import call
from standins.fleet import dialect as fleet_dialect
from standins import platform_model


async def test_lease_expires_after_its_ttl(paused_clock):
    store = platform_model.PlatformModel()
    await store.put('k', b'v', 0, ttl=5)
    assert (await store.get('k')).value == b'v'
    paused_clock.jump(6)
    assert (await store.get('k')).revision == 0


async def test_lease_can_be_ended_early(paused_clock):
    store = platform_model.PlatformModel()
    await store.put('k', b'v', 0, ttl=5)
    await store.put('keeps', b'v', 0)
    store.expire('k')
    assert (await store.get('k')).revision == 0
    assert (await store.get('keeps')).revision


async def test_write_at_another_revision_is_a_conflict(paused_clock):
    store = platform_model.PlatformModel()
    await store.put('k', b'v', 0)
    with pytest.raises(errors.StoreConflictError):
        await store.put('k', b'w', 0)


async def test_lost_answer_leaves_the_write_in_effect(paused_clock):
    store = platform_model.PlatformModel()
    store.faults.lose_writes = 1
    with pytest.raises(errors.StoreUnavailableError):
        await store.put('k', b'v', 0)
    assert (await store.get('k')).value == b'v'


async def test_watch_returns_once_the_key_changes(paused_clock, nursery):
    store = platform_model.PlatformModel()
    nursery.start_soon(store.put, 'k', b'v', 0)
    assert (await store.watch('k', 0, 10.0)).value == b'v'


def test_dialect_of_the_fleet_has_all_methods_that_calls_use():
    names = {n for n in vars(call.Dialect) if not n.startswith('_')}
    assert names <= set(dir(fleet_dialect.ModelDialect))
