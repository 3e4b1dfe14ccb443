"""Tests of assembling the trace of a request from logs."""

import json

import pytest

from savorycross import errors
from savorycross.events import request_trace


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


def test_trace_has_the_lines_of_the_request_and_the_state_events():
    trace = request_trace.assemble('r1', LOG)
    events = [(line.event, line.time) for line in trace.lines]
    assert events == [
        ('configuration.adopted', 2),
        ('target.draining', 3),
        ('send.failed', 4),
        ('request.lost', 5),
    ]
    assert trace.lines[0].fields == {'version': 4}


def test_suppressed_lines_are_counted():
    assert request_trace.assemble('r1', LOG).dropped == {'request.lost': 3}


def test_unknown_request_is_an_error_that_counts_suppressed_lines():
    with pytest.raises(errors.NotFoundError, match='3 lines were left out'):
        request_trace.assemble('r2', LOG)
