"""The story of a request out of logs."""

import json

import pytest

from savorycross import errors
from savorycross.events import story


def _line(time, event, instance='entry-1', **fields):
    return json.dumps(
        {'time': time, 'event': event, 'instance': instance, **fields}
    )


LOG = [
    _line(1, 'configuration.adopted', version=3),
    _line(2, 'configuration.adopted', version=4),
    _line(2, 'configuration.adopted', instance='entry-2', version=9),
    _line(3, 'target.draining', target='t1'),
    _line(3, 'target.draining', target='t2'),
    '  12.5 entry-1 ' + _line(4, 'send.failed', request='r1', target='t1'),
    _line(5, 'request.lost', request='r1', targets=['t1'], dropped=3),
    _line(6, 'configuration.adopted', version=5),
    'no event',
    '{"broken',
]


def test_story_has_the_request_and_what_was_believed():
    found = story.tell('r1', LOG)
    told = [(line.event, line.time) for line in found.lines]
    assert told == [
        ('configuration.adopted', 2),
        ('target.draining', 3),
        ('send.failed', 4),
        ('request.lost', 5),
    ]
    assert found.lines[0].fields == {'version': 4}


def test_lines_left_out_are_told():
    assert story.tell('r1', LOG).dropped == {'request.lost': 3}


def test_unknown_request_is_an_error_that_tells_of_missing_lines():
    with pytest.raises(errors.NotFoundError, match='3 lines were left out'):
        story.tell('r2', LOG)
