"""Structured log lines."""

import json
import os

import loguru
import pytest

from savorycross.events import log
from savorycross.events import sink


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def lines():
    found = []
    handler = loguru.logger.add(lambda message: found.append(message.record))
    yield found
    loguru.logger.remove(handler)


def test_event_has_its_fields(lines):
    log.EventLog('entry-1', Clock()).event('store.lost', 'r1', reason='x')
    (record,) = lines
    assert record['message'] == 'store.lost'
    assert record['extra'] == {
        'instance': 'entry-1',
        'request': 'r1',
        'reason': 'x',
    }


def test_each_event_has_a_budget_and_counts_what_it_drops(lines):
    clock = Clock()
    found = log.EventLog('entry-1', clock)
    for _ in range(int(log.BURST_LINES) + 7):
        found.event('a')
    found.event('b')
    assert len(lines) == log.BURST_LINES + 1
    clock.now = 1.0
    found.event('a')
    assert lines[-1]['extra']['dropped'] == 7


def test_full_pipe_drops_lines_and_counts_them():
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream, os.fdopen(reader) as source:
        found = sink.Sink(stream)
        handler = loguru.logger.add(found, format='{message}')
        try:
            for _ in range(5000):
                loguru.logger.info('x' * 100)
            assert found.dropped
            os.set_blocking(source.fileno(), False)
            os.read(source.fileno(), 1 << 20)
            loguru.logger.info('after')
        finally:
            loguru.logger.remove(handler)
        last = os.read(source.fileno(), 1 << 20).splitlines()[-1]
    assert json.loads(last)['lines_lost'] > 0


def test_successes_are_logged_less_often_and_without_their_cost(lines):
    clock = Clock()
    found = log.EventLog('entry-1', clock, ('ok',))
    made = []
    for second in range(100):
        clock.now = float(second)
        found.event('ok', detail=lambda: made.append(1) or {'a': 1})
        found.event('bad')
        found.event('bad')
    names = [record['message'] for record in lines]
    assert names.count('ok') <= log.BURST_LINES + 50
    assert len(made) == names.count('ok')
    assert names.count('bad') == 200
