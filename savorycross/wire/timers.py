"""Timers that share one task."""

import heapq
import itertools
import math

import trio

from savorycross.events import failure


class Timer:
    """A callback that is due at a time, unless it is cancelled."""

    __slots__ = ('callback',)

    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        """Forget the callback."""
        self.callback = None


class Timers:
    """Calls back at times of the runtime clock."""

    def __init__(self):
        self._heap = []
        self._order = itertools.count()
        self._scope = trio.CancelScope()

    def call_at(self, when, callback):
        """Return a Timer that calls back at a time in seconds."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._order), timer))
        if when < self._scope.deadline:
            self._scope.deadline = when
        return timer

    async def run(self):
        """Call back until cancelled."""
        while True:
            when = self._heap[0][0] if self._heap else math.inf
            with trio.CancelScope(deadline=when) as self._scope:
                await trio.sleep_forever()
            self.run_due(trio.current_time())

    def run_due(self, now):
        """Call back what is due at a time."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.callback is not None:
                self._call(timer)
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)

    @staticmethod
    def _call(timer):
        try:
            timer.callback()
        except Exception as exc:
            failure.report('timer', exc)
