"""Specification of delegated sends: an answer is the merge of what it names.

One gather over a service nearby and three far away, whose first sends go
through a delegate. Results come in one message or two, hedges answer, the
delegate is lost, time passes the objective and the end, in any order. Each
state is the trace of events that led to it and is replayed with the
product's own ScatterGather, Fetch and BatchExchange; a target's answer through
the delegate has other records than that of a hedge, so a wrong mixture shows.
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

FAR = ('f0', 'f1', 'f2')
LIMIT = 2
# Records by signature: those through the delegate are the greater ones.
BODIES = {
    b'n': b'm' * 16,
    b'f0': b'x' * 16 + b'w' * 16,
    b'f1': b'z' * 16 + b'y' * 16,
    b'f2': b'v' * 16 + b'u' * 16,
    b'f0-hedge': b'c' * 16,
    b'f1-hedge': b'b' * 16,
    b'f2-hedge': b'a' * 16,
}
MESSAGES = {'all': (0, 1, 2), 'first two': (0, 1), 'last': (2,)}
TIMES = {'hedges due': 0.1, 'objective': 0.1, 'end': 1.0}


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Guards that a mutation removes; none by default."""

    keeps_hedged_parts: bool = False
    decides_within_a_message: bool = False


class Run:
    """A gather, driven by events."""

    def __init__(self):
        self.batches = []
        self.ends = []
        self.engine = fake_engine.FakeEngine(
            others=fake_engine.make_delegates(
                fakes.make_peer('b'), make_pool=self._make_pool
            )
        )
        self.engine.add_target('near', 'n')
        self.engine.add_far_targets(FAR)
        self.gather = scatter_gather.ScatterGather(
            self.engine,
            fake_engine.make_call(),
            fake_engine.make_route(
                ('n', *FAR), record_limit=LIMIT, min_coverage=0.5
            ),
            objective_at=100.2,
            end_at=101.0,
            on_end=lambda reply, outcome: self.ends.append((reply, outcome)),
        )
        self.gather.start()

    def _make_pool(self, address):
        return fake_engine.FakePool(address, self.batches)

    def play(self, event):
        """Let an event happen."""
        if event in TIMES:
            self.engine.advance(TIMES[event])
        elif event in MESSAGES:
            self._give(MESSAGES[event], is_last=event != 'first two')
        elif event == 'delegate lost':
            self.batches[0].on_lost(True, 'reset')
        elif event == 'near answers':
            self._answer('near', b'n')
        else:
            name = event.partition(' ')[0]
            self._answer(f'{name}-i', name.encode() + b'-hedge')

    def is_hedged(self, name):
        """Tell whether a far service was asked directly as well."""
        return bool(self.engine.sent_to(f'{name}-i'))

    def _give(self, numbers, is_last):
        stamps = [FAR[n].encode() for n in numbers]
        bodies = records.prune_records([BODIES[s] for s in stamps], LIMIT)
        rows = tuple(
            protocol.Result(n, protocol.Outcome.OK, 3.0, stamp, body)
            for n, stamp, body in zip(numbers, stamps, bodies, strict=True)
        )
        batch = self.batches[0]
        batch.on_chunk(protocol.encode(protocol.Results(5.0, rows)))
        if is_last:
            batch.on_reply(messages.Reply(200))

    def _answer(self, target, stamp):
        reply = fake_engine.reply(stamp=stamp, body=BODIES[stamp])
        self.engine.sent_to(target)[0].on_reply(reply)


def replay(trace):
    """Return the Run after a trace of events."""
    run = Run()
    for event in trace:
        run.play(event)
    return run


class Specification:
    """The transitions of the model; a state is a trace."""

    def transitions(self, trace):
        """Yield (label, trace) for each possible next event."""
        run = replay(trace)
        if run.ends:
            return
        for event in self._events(trace, run):
            yield event, (*trace, event)

    def _events(self, trace, run):
        times = [t for t in TIMES if t not in trace]
        yield from times[:1]
        if 'near answers' not in trace:
            yield 'near answers'
        if 'delegate lost' not in trace and 'all' not in trace:
            if 'first two' not in trace:
                yield from ('all', 'first two', 'delegate lost')
            elif 'last' not in trace:
                yield from ('last', 'delegate lost')
        for name in FAR:
            event = f'{name} hedge answers'
            if event not in trace and run.is_hedged(name):
                yield event


@functools.lru_cache(maxsize=None)
def _ends(trace):
    return tuple(replay(trace).ends)


def _answers(found):
    """Return the successes that a state's trace has led to."""
    return [r for r, _ in _ends(found['state']) if r.status == 200]


def _stamps(reply):
    return reply.header(b'parts').split(b', ')


def _merges_what_it_names(found):
    return all(
        r.body == records.merge_records([BODIES[s] for s in _stamps(r)], LIMIT)
        for r in _answers(found)
    )


def _names_each_service_once(found):
    for reply in _answers(found):
        services = [s.partition(b'-')[0] for s in _stamps(reply)]
        missing = int(reply.header(b'missing-parts'))
        if len(set(services)) != len(services):
            return False
        if len(services) + missing != 1 + len(FAR):
            return False
    return True


def _ends_once(found):
    return len(_ends(found['state'])) <= 1


INVARIANTS = {
    'merges_what_it_names': _merges_what_it_names,
    'names_each_service_once': _names_each_service_once,
    'ends_once': _ends_once,
}


def check(mutation=Mutation()):
    """Return the checker's report."""
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
    _ends.cache_clear()
    for patch in patches:
        patch.start()
    try:
        return checking.check(
            'delegation', Specification(), (), INVARIANTS, 60_000
        )
    finally:
        _ends.cache_clear()
        for patch in patches:
            patch.stop()
