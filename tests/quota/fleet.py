"""Instances that admit requests of a workspace on a simulated clock."""

import heapq
import itertools
import random

import msgspec

from savorycross.gateway import instance_settings
from savorycross.metrics import registry
from savorycross.overload import shares
from savorycross.quota import division
from savorycross.quota import gate
from savorycross.quota import protocol
from savorycross.quota import quotas
from savorycross.wire import timers
from savorycross.workspace import workspace
from tests import null_log

LIMITS = instance_settings.QuotaLimits(5.0, 0.1, 20.0)
TYPICAL = workspace.Workspace('w', 0, 22.0, 22.0)
# A fifth of the objective of a gather.
WAIT_S = 0.014


class Fleet:
    """Instances, their messages and what they admitted.

    ``admitted`` and ``refused`` are the times of the requests. ``loses``
    tells which messages are lost, and ``frozen`` until when instances stand
    still, by name.

    :param count: number of instances, all of which hold parts.
    :param limited: Workspace.
    """

    def __init__(self, count, limited=TYPICAL, limits=LIMITS, latency_s=0.001):
        self.now = 100.0
        self.names = [f'entry-{n}' for n in range(count)]
        self.admitted = []
        self.refused = []
        self.waits = []
        self.messages = 0
        self.loses = lambda sender, receiver: False
        self.frozen = {}
        self.rng = random.Random(1)
        self.limited = limited
        self.quotas = {}
        self._limits = limits
        self._latency_s = latency_s
        self._gates = {}
        self._events = []
        self._order = itertools.count()
        self._timers = timers.Timers()
        for name in self.names:
            self.start(name, is_successor=False)

    def start(self, name, is_successor):
        """Start an instance, in the place of an earlier one."""
        started = quotas.Quotas(
            name,
            is_successor,
            self._limits,
            lambda to, message: self._send(name, to, message),
            self.rng,
            null_log.NullLog(),
            registry.Registry(),
            self.now,
        )
        started.set_view(_make_view(name, self.names), self.now)
        started.set_workspaces([self.limited], self.now)
        self.quotas[name] = started
        self._gates[name] = gate.Gate(started, self._timers, lambda: self.now)

    def set_holders(self, name, names):
        """Tell an instance which instances hold parts."""
        self.set_view(name, _make_view(name, names))

    def set_view(self, name, view):
        """Put a HolderView in force at an instance."""
        self.quotas[name].set_view(view, self.now)

    def request(self, name):
        """Let a caller send a request to an instance."""
        if self.now < (until := self.frozen.get(name, 0.0)):
            self._push(until, lambda: self.request(name))
            return
        sent_at = self.now

        def start():
            self.admitted.append(self.now)
            self.waits.append(self.now - sent_at)

        def refuse(return_at):
            assert return_at > self.now
            self.refused.append(self.now)
            self.waits.append(self.now - sent_at)

        until = self.now + WAIT_S
        self._gates[name].enter(self.limited, until, start, refuse)

    def run(self, seconds, rate_per_s, choose):
        """Send requests at random times.

        :param choose: callable that returns the instance of a request.
        """
        end = self.now + seconds
        at = self.now
        while (at := at + self.rng.expovariate(rate_per_s)) < end:
            self.advance(at)
            self.request(choose())
        self.advance(end)

    def advance(self, until):
        """Deliver messages and call timers until a time."""
        heap = self._timers._heap
        while True:
            times = [queue[0][0] for queue in (self._events, heap) if queue]
            if not times or min(times) > until:
                break
            self.now = max(self.now, min(times))
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._timers.run_due(self.now)
        self.now = until

    def most_in_window(self):
        """Return the most requests admitted in any window of the bound."""
        times = sorted(self.admitted)
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - self._limits.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    @property
    def bound(self):
        """The most requests that any window may have."""
        limited, limits = self.limited, self._limits
        allowed = limited.rate_per_s * limits.window_s + limited.burst
        return allowed * (1.0 + limits.overage) + limits.slack

    def _send(self, sender, receiver, message):
        self.messages += 1
        if self.loses(sender, receiver):
            return
        at = self.now + self._latency_s * self.rng.uniform(0.5, 1.5)
        data = msgspec.msgpack.encode(message)
        self._push(at, lambda: self._deliver(receiver, data))

    def _deliver(self, receiver, data):
        if self.now < (until := self.frozen.get(receiver, 0.0)):
            self._push(until, lambda: self._deliver(receiver, data))
            return
        message = protocol.decode(data)
        self.quotas[receiver].on_message(message, self.now)

    def _push(self, at, call):
        heapq.heappush(self._events, (at, next(self._order), call))


def _make_view(name, names):
    return division.HolderView(shares.LimitShares(name, frozenset(names)))
