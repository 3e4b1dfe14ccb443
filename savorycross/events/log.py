"""Structured log lines with a bounded volume."""

import collections
import sys

import loguru

from savorycross.events import sink

# Lines a second for each name of event, and the burst on top.
LINES_PER_S = 10.0
BURST_LINES = 30.0
# Successes leave the processor to requests.
SUCCESS_LINES_PER_S = 0.5


class EventLog:
    """Writes one JSON line for each event, within a budget by name.

    Lines beyond the budget are counted; the count goes into the next line
    of the same name. Output that would block is dropped.

    :param instance: name of the instance, put into each line.
    :param clock: callable that returns runtime seconds.
    :param successes: names of events that are logged less often.
    """

    def __init__(self, instance, clock, successes=()):
        self._successes = frozenset(successes)
        self._logger = loguru.logger.bind(instance=instance)
        self._clock = clock
        self._tokens = collections.defaultdict(lambda: BURST_LINES)
        self._at = {}
        self._dropped = collections.Counter()

    def event(self, event, request='', detail=None, **fields):
        """Log an event.

        :param event: dotted name such as ``store.lost``.
        :param request: id of the request that it touches.
        :param detail: callable that returns further fields; not called
            for lines that are left out.
        """
        if not self._take(event):
            return
        if detail is not None:
            fields.update(detail())
        dropped = self._dropped.pop(event, 0)
        if dropped:
            fields['dropped'] = dropped
        if request:
            fields['request'] = request
        self._logger.info(event, **fields)

    def _take(self, event):
        """Take a line of the budget, or count it as left out."""
        now = self._clock()
        rate = LINES_PER_S
        if event in self._successes:
            rate = SUCCESS_LINES_PER_S
        earned = (now - self._at.get(event, now)) * rate
        self._at[event] = now
        tokens = min(self._tokens[event] + earned, BURST_LINES)
        is_taken = tokens >= 1.0
        self._tokens[event] = tokens - is_taken
        self._dropped[event] += not is_taken
        return is_taken


def configure():
    """Send the lines of all event logs to standard output as JSON."""
    loguru.logger.remove()
    loguru.logger.add(sink.Sink(sys.stdout), format='{message}')
