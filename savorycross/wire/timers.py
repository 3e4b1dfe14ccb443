"""Many timers that share one trio task."""

import heapq
import itertools
import math

import trio

from savorycross.events import failure


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ('callback',)

    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        """Cancel the callback; no effect once it was called."""
        self.callback = None


class Timers:
    """A queue of callbacks that are called at times of the runtime clock."""

    def __init__(self):
        self._heap = []
        self._order = itertools.count()
        self._scope = trio.CancelScope()

    def call_at(self, when, callback):
        """Schedule a callback and return its Timer.

        :param when: runtime clock time in seconds.
        """
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._order), timer))
        if when < self._scope.deadline:
            self._scope.deadline = when
        return timer

    async def run(self):
        """Call due callbacks until cancelled."""
        while True:
            when = self._heap[0][0] if self._heap else math.inf
            with trio.CancelScope(deadline=when) as self._scope:
                await trio.sleep_forever()
            self.run_due(trio.current_time())

    def run_due(self, now):
        """Call the callbacks that are due.

        :param now: runtime clock time in seconds.
        """
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
