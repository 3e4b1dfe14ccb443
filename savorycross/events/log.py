"""Structured log lines, rate-limited for each event name."""

import collections
import sys

import loguru

from savorycross.events import sink

# Refill rate and capacity of the token bucket of each event name.
LINES_PER_S = 10.0
BURST_LINES = 30.0
# Refill rate for events that report success: these occur with each request,
# and logging all of them would take processor time from the requests.
SUCCESS_LINES_PER_S = 0.5


class EventLog:
    """Writes one JSON line for each event, rate-limited by event name.

    A token bucket for each event name limits its lines. Suppressed lines are
    counted; the count is put into the next line of the same name. Output
    that would block is dropped.

    :param instance: name of the instance, put into each line.
    :param clock: callable that returns runtime clock time in seconds.
    :param successes: names of events that report success and are logged at
        the lower rate.
    """

    def __init__(self, instance, clock, successes=()):
        self._successes = frozenset(successes)
        self._logger = loguru.logger.bind(instance=instance)
        self._clock = clock
        self._tokens = collections.defaultdict(lambda: BURST_LINES)
        self._refilled_at = {}
        self._dropped = collections.Counter()

    def event(self, event, request='', detail=None, **fields):
        """Log an event.

        :param event: dotted name such as ``store.lost``.
        :param request: id of the request that the event concerns.
        :param detail: callable that returns further fields as a dictionary;
            not called for suppressed lines.
        """
        if not self._take_token(event):
            return
        if detail is not None:
            fields.update(detail())
        dropped = self._dropped.pop(event, 0)
        if dropped:
            fields['dropped'] = dropped
        if request:
            fields['request'] = request
        self._logger.info(event, **fields)

    def _take_token(self, event):
        """Take a token for a line, or count the line as suppressed.

        :returns: whether the line may be written.
        """
        now = self._clock()
        rate_per_s = LINES_PER_S
        if event in self._successes:
            rate_per_s = SUCCESS_LINES_PER_S
        refill = (now - self._refilled_at.get(event, now)) * rate_per_s
        self._refilled_at[event] = now
        tokens = min(self._tokens[event] + refill, BURST_LINES)
        has_token = tokens >= 1.0
        self._tokens[event] = tokens - has_token
        self._dropped[event] += not has_token
        return has_token


def configure():
    """Write the lines of all event logs to standard output as JSON.

    They are dropped if the process has no standard output.
    """
    loguru.logger.remove()
    if sys.stdout is None:
        return
    loguru.logger.add(sink.Sink(sys.stdout), format='{message}')
