"""Tests of structured log lines."""

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
    records = []
    handler = loguru.logger.add(lambda message: records.append(message.record))
    yield records
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


def test_each_event_name_is_rate_limited_and_counts_suppressed_lines(lines):
    clock = Clock()
    event_log = log.EventLog('entry-1', clock)
    for _ in range(int(log.BURST_LINES) + 7):
        event_log.event('a')
    event_log.event('b')
    assert len(lines) == log.BURST_LINES + 1
    clock.now = 1.0
    event_log.event('a')
    assert lines[-1]['extra']['dropped'] == 7


def test_full_pipe_drops_lines_and_counts_them():
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as stream, os.fdopen(reader) as source:
        log_sink = sink.Sink(stream)
        handler = loguru.logger.add(log_sink, format='{message}')
        try:
            for _ in range(5000):
                loguru.logger.info('x' * 100)
            assert log_sink.dropped
            os.set_blocking(source.fileno(), False)
            os.read(source.fileno(), 1 << 20)
            loguru.logger.info('after')
        finally:
            loguru.logger.remove(handler)
        last = os.read(source.fileno(), 1 << 20).splitlines()[-1]
    assert json.loads(last)['lines_lost'] > 0


def test_successes_are_logged_less_often_and_details_only_if_logged(lines):
    clock = Clock()
    event_log = log.EventLog('entry-1', clock, ('ok',))
    detail_calls = []
    for second in range(100):
        clock.now = float(second)
        event_log.event(
            'ok', detail=lambda: detail_calls.append(1) or {'a': 1}
        )
        event_log.event('bad')
        event_log.event('bad')
    names = [record['message'] for record in lines]
    assert names.count('ok') <= log.BURST_LINES + 50
    assert len(detail_calls) == names.count('ok')
    assert names.count('bad') == 200
