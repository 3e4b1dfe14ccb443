"""A clock that jumps from one scheduled callback to the next."""

import heapq
import itertools

from savorycross.wire import timers


class Scheduler:
    """Calls callbacks in the order of their times.

    It takes the place of ``wire.timers.Timers`` in an engine. ``time`` is the
    simulated time in seconds.
    """

    def __init__(self):
        self.time = 0.0
        self._heap = []
        self._order = itertools.count()

    def now(self):
        """Return the simulated time in seconds."""
        return self.time

    def call_at(self, when, callback):
        """Schedule a callback and return its Timer.

        :param when: simulated time in seconds; a past one counts as now.
        """
        timer = timers.Timer(callback)
        when = max(when, self.time)
        heapq.heappush(self._heap, (when, next(self._order), timer))
        return timer

    def call_later(self, seconds, callback):
        """Schedule a callback after some seconds and return its Timer."""
        return self.call_at(self.time + seconds, callback)

    def run_until(self, end):
        """Call all callbacks that are due by a time.

        :param end: simulated time in seconds.
        """
        while self._heap and self._heap[0][0] <= end:
            self.time, _, timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback()
        self.time = end
