"""Selection of delegates."""

from savorycross.delegate import selector
from tests.delegate import fakes
from tests.forward import fake_engine


def make_selector(*names, own='a'):
    """Return a DelegateSelector and its registry of peers in one data centre.

    :param own: name of the instance that selects, in another data centre.
    """
    registry = fakes.FakePeerRegistry(
        *(fakes.make_peer(name) for name in names)
    )
    tested = selector.DelegateSelector(
        fakes.make_peer(own, 'bilbo'),
        registry,
        lambda address: fake_engine.FakePool(address, []),
    )
    return tested, registry


def test_instance_of_the_own_data_centre_is_no_delegate():
    tested, registry = make_selector('b')
    registry.peers.append(fakes.make_peer('near', 'bilbo'))
    assert tested.select('bilbo', 1.0) is None
    assert tested.select('donosti', 1.0).peer.name == 'b'
    assert tested.choose_data_centre(b'x', 1.0) == 'donosti'


def test_selection_is_stable_and_spread_over_senders():
    names = [f'd{n}' for n in range(8)]
    chosen = {
        make_selector(*names, own=f'a{n}')[0].select('donosti', 1.0).peer.name
        for n in range(30)
    }
    assert len(chosen) >= 6
    tested, _ = make_selector(*names)
    selected = tested.select('donosti', 1.0)
    assert tested.select('donosti', 9.0) is selected


def test_instance_that_left_is_no_delegate():
    tested, registry = make_selector('b', 'cc')
    selected = tested.select('donosti', 1.0)
    registry.peers = [p for p in registry.peers if p != selected.peer]
    later = 1.0 + selector.REFRESH_INTERVAL_S
    assert tested.select('donosti', later).peer != selected.peer


def test_backoff_grows_with_each_failure_until_a_success():
    tested, _ = make_selector('b')
    delegate = tested.select('donosti', 1.0)
    backoffs = [delegate.record_failure(1.0) for _ in range(6)]
    assert backoffs == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert tested.select('donosti', 8.9) is None
    assert tested.select('donosti', 9.1) is delegate
    delegate.record_success(0.004)
    assert delegate.record_failure(1.0) == 1.0


def test_calls_spread_over_data_centres():
    tested, registry = make_selector('b')
    registry.peers.append(fakes.make_peer('i', 'iruna'))
    chosen = {tested.choose_data_centre(b'%d' % n, 1.0) for n in range(20)}
    assert chosen == {'donosti', 'iruna'}


def test_no_data_centre_is_chosen_without_other_instances():
    tested, _ = make_selector()
    assert tested.choose_data_centre(b'x', 1.0) is None
