"""The choice of a target."""

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
    found = engine.pick('s', set(tried), engine.time)
    return found.target.id if found is not None else None


def _state(engine, name):
    return next(
        s for s in engine.target_registry.states() if s.target.id == name
    )


def test_target_nearby_is_taken_while_it_is_as_fast():
    engine = _engine(near='bilbo', far='iruna')
    assert {_pick(engine) for _ in range(20)} == {'near'}


def test_busy_target_nearby_is_left_for_one_far_away():
    engine = _engine(near='bilbo', far='iruna')
    state = _state(engine, 'near')
    for n in range(12):
        state.add_outstanding(n, engine.time, 1.0)
    assert _pick(engine) == 'far'


def test_target_that_often_fails_is_left():
    engine = _engine(flaky='bilbo', sound='bilbo')
    state = _state(engine, 'flaky')
    for _ in range(3):
        state.record_failure(engine.time)
        state.record_success(engine.time)
        engine.time += 0.2
    assert {_pick(engine) for _ in range(20)} == {'sound'}


def test_silent_target_is_left():
    engine = _engine(silent='bilbo', sound='bilbo')
    _state(engine, 'silent').add_outstanding('a', engine.time - 1.0, 0.01)
    assert {_pick(engine) for _ in range(20)} == {'sound'}


def test_ejected_targets_are_taken_if_no_other_is_left():
    engine = _engine(a='bilbo')
    for _ in range(3):
        _state(engine, 'a').record_failure(engine.time)
    assert _pick(engine) == 'a'


def test_tried_and_full_targets_are_not_taken():
    engine = _engine(a='bilbo', b='bilbo')
    _state(engine, 'b').pool.has_room = False
    assert _pick(engine, tried=['a']) is None


def test_draining_target_and_data_centre_taken_out_get_nothing():
    engine = _engine(a='bilbo', b='iruna')
    engine.add_target('c', 's', 'donosti', is_draining=True)
    engine.target_registry.set_out('bilbo', True, engine.time)
    assert _pick(engine) == 'b'
    engine.target_registry.set_out('iruna', True, engine.time)
    assert _pick(engine) is None
    engine.target_registry.set_out('bilbo', False, engine.time)
    assert _pick(engine) == 'a'


def test_large_service_spreads_over_near_targets():
    engine = fake_engine.FakeEngine()
    for n in range(40):
        engine.add_target(f't{n}', 's', ('bilbo', 'iruna')[n % 2])
    found = collections.Counter(_pick(engine) for _ in range(400))
    assert len(found) > 15
    assert all(int(name[1:]) % 2 == 0 for name in found)


def test_score_of_equal_targets_is_drawn():
    chosen = picker.Picker('bilbo', random.Random(3))
    engine = _engine(a='bilbo', b='bilbo')
    states = engine.target_registry.states()
    found = {chosen.pick(states, (), 100.0, None) for _ in range(30)}
    assert len(found) == 2
