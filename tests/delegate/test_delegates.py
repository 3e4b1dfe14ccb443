"""The choice of delegates."""

from savorycross.delegate import selector
from tests.delegate import fakes
from tests.forward import world


def make(*names, own='a'):
    """Return a DelegateSelector among instances in one other data centre."""
    peers = fakes.FakePeers(*(fakes.make_peer(name) for name in names))
    found = selector.DelegateSelector(
        fakes.make_peer(own, 'bilbo'),
        peers,
        lambda address: world.FakePool(address, []),
    )
    return found, peers


def test_instances_of_ones_own_data_centre_are_none():
    found, peers = make('b')
    peers.found.append(fakes.make_peer('near', 'bilbo'))
    assert found.find('bilbo', 1.0) is None
    assert found.find('donosti', 1.0).peer.name == 'b'
    assert found.prefer(b'x', 1.0) == 'donosti'


def test_choice_is_stable_and_spread_over_senders():
    names = [f'd{n}' for n in range(8)]
    chosen = {
        make(*names, own=f'a{n}')[0].find('donosti', 1.0).peer.name
        for n in range(30)
    }
    assert len(chosen) >= 6
    found, _ = make(*names)
    first = found.find('donosti', 1.0)
    assert found.find('donosti', 9.0) is first


def test_instance_that_is_gone_is_no_delegate():
    found, peers = make('b', 'cc')
    first = found.find('donosti', 1.0)
    peers.found = [p for p in peers.found if p != first.peer]
    later = 1.0 + selector.REFRESH_S
    assert found.find('donosti', later).peer != first.peer


def test_failed_delegate_is_avoided_longer_each_time_until_it_answers():
    found, _ = make('b')
    delegate = found.find('donosti', 1.0)
    waits = [delegate.note_failure(1.0) for _ in range(6)]
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert found.find('donosti', 8.9) is None
    assert found.find('donosti', 9.1) is delegate
    delegate.note_results(0.004)
    assert delegate.note_failure(1.0) == 1.0


def test_calls_spread_over_data_centres():
    found, peers = make('b')
    peers.found.append(fakes.make_peer('i', 'iruna'))
    chosen = {found.prefer(b'%d' % n, 1.0) for n in range(20)}
    assert chosen == {'donosti', 'iruna'}


def test_no_other_instance_means_no_preference():
    found, _ = make()
    assert found.prefer(b'x', 1.0) is None
