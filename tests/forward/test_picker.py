"""Tests of the choice of a target."""

import collections
import random

from savorycross.forward import picker
from tests.forward import fake_engine


def _engine(**data_centres):
    engine = fake_engine.FakeEngine()
    for name, data_centre in data_centres.items():
        engine.add_target(name, 's', data_centre)
    return engine


def _pick(engine, tried=()):
    state = engine.pick('s', set(tried), engine.time)
    return state.target.id if state is not None else None


def _state(engine, name):
    return next(
        s for s in engine.target_registry.states() if s.target.id == name
    )


def test_local_target_is_chosen_while_it_is_as_fast():
    engine = _engine(near='bilbo', far='iruna')
    assert {_pick(engine) for _ in range(20)} == {'near'}


def test_remote_target_is_chosen_while_the_local_one_is_busy():
    engine = _engine(near='bilbo', far='iruna')
    state = _state(engine, 'near')
    for n in range(12):
        state.add_outstanding(n, engine.time, 1.0)
    assert _pick(engine) == 'far'


def test_target_that_often_fails_is_not_chosen():
    engine = _engine(flaky='bilbo', sound='bilbo')
    state = _state(engine, 'flaky')
    for _ in range(3):
        state.record_failure(engine.time)
        state.record_success(engine.time)
        engine.time += 0.2
    assert {_pick(engine) for _ in range(20)} == {'sound'}


def test_target_with_an_overdue_send_is_not_chosen():
    engine = _engine(silent='bilbo', sound='bilbo')
    _state(engine, 'silent').add_outstanding('a', engine.time - 1.0, 0.01)
    assert {_pick(engine) for _ in range(20)} == {'sound'}


def test_ejected_target_is_chosen_if_no_other_is_available():
    engine = _engine(a='bilbo')
    for _ in range(3):
        _state(engine, 'a').record_failure(engine.time)
    assert _pick(engine) == 'a'


def test_tried_and_full_targets_are_not_chosen():
    engine = _engine(a='bilbo', b='bilbo')
    _state(engine, 'b').pool.has_room = False
    assert _pick(engine, tried=['a']) is None


def test_draining_target_and_evacuated_data_centre_get_nothing():
    engine = _engine(a='bilbo', b='iruna')
    engine.add_target('c', 's', 'donosti', is_draining=True)
    engine.target_registry.set_evacuated('bilbo', True, engine.time)
    assert _pick(engine) == 'b'
    engine.target_registry.set_evacuated('iruna', True, engine.time)
    assert _pick(engine) is None
    engine.target_registry.set_evacuated('bilbo', False, engine.time)
    assert _pick(engine) == 'a'


def test_requests_of_a_large_service_spread_over_local_targets():
    engine = fake_engine.FakeEngine()
    for n in range(40):
        engine.add_target(f't{n}', 's', ('bilbo', 'iruna')[n % 2])
    picks = collections.Counter(_pick(engine) for _ in range(400))
    assert len(picks) > 15
    assert all(int(name[1:]) % 2 == 0 for name in picks)


def test_choice_between_equal_targets_is_random():
    target_picker = picker.Picker('bilbo', random.Random(3))
    engine = _engine(a='bilbo', b='bilbo')
    states = engine.target_registry.states()
    picks = {
        target_picker.pick(states, (), 100.0, lambda _: True)
        for _ in range(30)
    }
    assert len(picks) == 2


def test_send_that_leaves_pays_no_price_in_the_chosen_data_centre():
    target_picker = picker.Picker('bilbo', random.Random(3))
    engine = _engine(near='bilbo', far='iruna', farther='donosti')
    _state(engine, 'near').add_latency(2.0, engine.time)
    states = engine.target_registry.states()

    def pick(leaving):
        picked = target_picker.pick(
            states, (), engine.time, lambda _: True, leaving=leaving
        )
        return picked.target.id

    assert pick(None) == 'near'
    assert pick('iruna') == 'far'
    assert pick('donosti') == 'farther'


def test_samples_of_a_large_service_include_the_chosen_data_centre():
    engine = fake_engine.FakeEngine()
    for n in range(30):
        engine.add_target(f't{n}', 's', ('bilbo', 'iruna', 'donosti')[n % 3])
    target_picker = picker.Picker('bilbo', random.Random(3))
    states = engine.target_registry.states()
    for state in states:
        if state.target.data_centre == 'bilbo':
            state.add_latency(9.0, engine.time)
    picks = {
        target_picker.pick(
            states, (), engine.time, lambda _: True, leaving='iruna'
        ).target.data_centre
        for _ in range(50)
    }
    assert picks == {'iruna'}
