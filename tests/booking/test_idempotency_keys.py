"""Idempotency keys in a store that is restored from an older copy."""

import pytest
import trio

from savorycross.booking import idempotency_keys
from savorycross import errors
from savorycross.store import http
from standins import loopback
from standins import platform
from standins import platform_model


@pytest.fixture
async def world(nursery):
    """Return a store, and the keys of two instances."""
    store = platform_model.PlatformModel()
    both = [idempotency_keys.IdempotencyKeys(store) for _ in range(2)]
    for keys in both:
        nursery.start_soon(keys.run)
    await trio.sleep(1)
    return store, both


async def test_keys_are_bound_again_to_the_tickets_that_the_store_lost(
    world, autojump_clock
):
    store, (first, second) = world
    older = store.make_copy()
    for number in range(20):
        await first.claim('book', f'k{number}', f't{number}')
    store.faults.down = True
    store.restore(older)
    await trio.sleep(5)
    store.faults.down = False
    await trio.sleep(idempotency_keys.REWRITE_PERIOD_S)
    for number in range(20):
        assert await second.claim('book', f'k{number}', 'new') == f't{number}'


async def test_unknown_key_is_refused_while_others_may_know_it(
    world, autojump_clock
):
    store, (first, second) = world
    older = store.make_copy()
    await first.claim('book', 'k', 't')
    store.restore(older)
    with pytest.raises(errors.BookingNotRunError, match='restored'):
        await second.claim('book', 'k', 'new')
    assert await first.claim('book', 'k', 'new') == 't'
    assert await second.claim('book', 'k', 'new') == 't'


async def test_bindings_are_remembered_for_as_long_as_outcomes(
    world, autojump_clock
):
    store, (first, _) = world
    await first.claim('book', 'k', 't')
    await trio.sleep(idempotency_keys.REMEMBERED_S + 10)
    assert not first._bindings


async def test_instance_without_bindings_makes_no_calls(world, autojump_clock):
    store, _ = world
    store.calls.clear()
    await trio.sleep(60)
    assert not store.calls


async def test_store_over_http_names_its_era_in_each_reply(nursery):
    model = platform_model.PlatformModel()
    host, port = loopback.find_address()
    nursery.start_soon(platform.serve, model, port, host)
    await trio.testing.wait_all_tasks_blocked()
    store = http.HttpStore((host, port))
    await store.get('absent')
    assert store.era == 1
    model.restore(model.make_copy())
    await store.put('k', b'v', 0)
    assert store.era == 2
    await store.aclose()
