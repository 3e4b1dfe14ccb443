"""Whom an instance drops that holds too much for others."""

from savorycross.overload import memory_relief
from savorycross.wire import server


def _unfinished(name, n, since):
    return server.Held(name, n, since, 0, 0.0)


def _unsent(name, n, taken_at):
    return server.Held(name, 0, 0.0, n, taken_at)


def test_requests_that_are_incomplete_for_longest_are_refused_first():
    held = [
        _unfinished('late', 60, 3.0),
        _unfinished('early', 60, 1.0),
        _unfinished('middle', 60, 2.0),
        _unsent('stalled', 900, 0.0),
    ]
    relief = memory_relief.choose(held, 100, now=9.0)
    assert relief.refused == ('early', 'middle')
    assert relief.closed == ()


def test_callers_that_take_nothing_follow_and_the_largest_goes_first():
    held = [
        _unsent('small', 10, 0.0),
        _unsent('large', 500, 6.0),
        _unfinished('slow', 60, 1.0),
    ]
    relief = memory_relief.choose(held, 100, now=9.0)
    assert relief.refused == ('slow',)
    assert relief.closed == ('large',)


def test_callers_that_take_their_replies_keep_them():
    held = [_unsent('reading', 500, 8.9)]
    relief = memory_relief.choose(held, 100, now=9.0)
    assert relief == memory_relief.Relief((), ())
