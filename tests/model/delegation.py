"""Specification of delegated sends: a reply merges the parts that it names.

One scatter-gather call over a local and three remote services, whose first
sends go through a delegate. Results arrive in one message or two, hedges are
answered, the connection to the delegate is lost, and the objective and the
deadline pass, in any order. Each state is the trace of events that led to it,
and is replayed with the product's own ScatterGather, Fetch and BatchExchange.
A target's reply through the delegate has other records than its reply to a
hedge, so that a wrong mixture is detected.
"""

import dataclasses
import functools
from unittest import mock

from savorycross.delegate import protocol
from savorycross.forward import attempt
from savorycross.forward import scatter_gather
from savorycross.merge import records
from savorycross.wire import messages
from tests.delegate import fakes
from tests.forward import fake_engine
from tests.model import checking

REMOTE_SERVICES = ('f0', 'f1', 'f2')
RECORD_LIMIT = 2
# The records through the delegate sort after those of the hedges.
RECORDS_BY_STAMP = {
    b'n': b'm' * 16,
    b'f0': b'x' * 16 + b'w' * 16,
    b'f1': b'z' * 16 + b'y' * 16,
    b'f2': b'v' * 16 + b'u' * 16,
    b'f0-hedge': b'c' * 16,
    b'f1-hedge': b'b' * 16,
    b'f2-hedge': b'a' * 16,
}
RESULT_NUMBERS = {'all': (0, 1, 2), 'first two': (0, 1), 'last': (2,)}
DELAYS_S = {'hedges due': 0.1, 'objective': 0.1, 'end': 1.0}


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    keeps_hedged_parts: bool = False
    decides_within_a_message: bool = False


class Scenario:
    """A scatter-gather call that is driven by events."""

    def __init__(self):
        self.batches = []
        self.outcomes = []
        self.engine = fake_engine.FakeEngine(
            others=fake_engine.make_delegates(
                fakes.make_peer('b'), make_pool=self._make_pool
            )
        )
        self.engine.add_target('near', 'n')
        self.engine.add_far_targets(REMOTE_SERVICES)
        self.gather = scatter_gather.ScatterGather(
            self.engine,
            fake_engine.make_call(),
            fake_engine.make_route(
                ('n', *REMOTE_SERVICES),
                record_limit=RECORD_LIMIT,
                min_coverage=0.5,
            ),
            objective_at=100.2,
            end_at=101.0,
            on_end=lambda reply, outcome: self.outcomes.append(
                (reply, outcome)
            ),
        )
        self.gather.start()

    def _make_pool(self, address):
        return fake_engine.FakePool(address, self.batches)

    def apply(self, event):
        """Apply an event of a trace to the call."""
        if event in DELAYS_S:
            self.engine.advance(DELAYS_S[event])
        elif event in RESULT_NUMBERS:
            self._deliver_results(
                RESULT_NUMBERS[event], is_last=event != 'first two'
            )
        elif event == 'delegate lost':
            self.batches[0].on_lost(True, 'reset')
        elif event == 'near answers':
            self._deliver_reply('near', b'n')
        else:
            name = event.partition(' ')[0]
            self._deliver_reply(f'{name}-i', name.encode() + b'-hedge')

    def is_hedged(self, name):
        """Return whether a hedge was sent to a remote service directly."""
        return bool(self.engine.sent_to(f'{name}-i'))

    def _deliver_results(self, numbers, is_last):
        stamps = [REMOTE_SERVICES[n].encode() for n in numbers]
        bodies = records.prune_records(
            [RECORDS_BY_STAMP[s] for s in stamps], RECORD_LIMIT
        )
        results = tuple(
            protocol.Result(n, protocol.Outcome.OK, 3.0, stamp, body)
            for n, stamp, body in zip(numbers, stamps, bodies, strict=True)
        )
        batch = self.batches[0]
        batch.on_chunk(protocol.encode(protocol.Results(5.0, results)))
        if is_last:
            batch.on_reply(messages.Reply(200))

    def _deliver_reply(self, target, stamp):
        reply = fake_engine.reply(stamp=stamp, body=RECORDS_BY_STAMP[stamp])
        self.engine.sent_to(target)[0].on_reply(reply)


def replay(trace):
    """Return the Scenario after a trace of events."""
    scenario = Scenario()
    for event in trace:
        scenario.apply(event)
    return scenario


class Specification:
    """The transitions between states of the model; a state is a trace."""

    def transitions(self, trace):
        """Yield (label, trace) for each possible next event."""
        scenario = replay(trace)
        if scenario.outcomes:
            return
        for event in self._next_events(trace, scenario):
            yield event, (*trace, event)

    def _next_events(self, trace, scenario):
        time_events = [t for t in DELAYS_S if t not in trace]
        yield from time_events[:1]
        if 'near answers' not in trace:
            yield 'near answers'
        if 'delegate lost' not in trace and 'all' not in trace:
            if 'first two' not in trace:
                yield from ('all', 'first two', 'delegate lost')
            elif 'last' not in trace:
                yield from ('last', 'delegate lost')
        for name in REMOTE_SERVICES:
            event = f'{name} hedge answers'
            if event not in trace and scenario.is_hedged(name):
                yield event


@functools.lru_cache(maxsize=None)
def _outcomes(trace):
    return tuple(replay(trace).outcomes)


def _successes(values):
    """Return the replies with status 200 that a state's trace led to."""
    return [r for r, _ in _outcomes(values['state']) if r.status == 200]


def _stamps(reply):
    return reply.header(b'parts').split(b', ')


def _merges_what_it_names(values):
    return all(
        r.body
        == records.merge_records(
            [RECORDS_BY_STAMP[s] for s in _stamps(r)], RECORD_LIMIT
        )
        for r in _successes(values)
    )


def _names_each_service_once(values):
    for reply in _successes(values):
        services = [s.partition(b'-')[0] for s in _stamps(reply)]
        missing = int(reply.header(b'missing-parts'))
        if len(set(services)) != len(services):
            return False
        if len(services) + missing != 1 + len(REMOTE_SERVICES):
            return False
    return True


def _ends_once(values):
    return len(_outcomes(values['state'])) <= 1


INVARIANTS = {
    'merges_what_it_names': _merges_what_it_names,
    'names_each_service_once': _names_each_service_once,
    'ends_once': _ends_once,
}


def check(mutation=Mutation()):
    """Search the states of the specification; return the report.

    :param mutation: the Mutation to apply.
    """
    patches = []
    if mutation.keeps_hedged_parts:
        patches.append(
            mock.patch.object(
                attempt.Attempt,
                'is_pruned',
                property(lambda self: False, lambda self, value: None),
            )
        )
    if mutation.decides_within_a_message:
        patches.append(
            mock.patch.object(
                scatter_gather.ScatterGather, 'pause', lambda self: None
            )
        )
    _outcomes.cache_clear()
    for patch in patches:
        patch.start()
    try:
        return checking.check(
            'delegation', Specification(), (), INVARIANTS, 60_000
        )
    finally:
        _outcomes.cache_clear()
        for patch in patches:
            patch.stop()
