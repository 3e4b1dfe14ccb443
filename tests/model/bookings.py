"""Specification of bookings: at most one run, and correct refusals.

Two instances process requests that share one caller's key, which a claim in
the store binds to a ticket, or that share one ticket. The steps of the
instance that issued the ticket are calls of the product's Ledger. The model
adds the environment: callers that repeat a request through either instance,
claims whose replies are lost, owners that run, refuse or lose a booking,
replies that arrive late or never, deadlines that pass, and issuers that
terminate and restart.
"""

import dataclasses
import functools

from savorycross.booking import ledger
from tests.model import checking

NAMES = ('A', 'B')
NO_INSTANCE = ''
TICKET_NUMBER = 1
MAX_REQUESTS = 3


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    retries_unknown: bool = False
    ignores_claim: bool = False
    runs_for_former_process: bool = False
    reports_lost_as_not_run: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """The state of the system for one booking key.

    :param claim: instance and incarnation whose ticket the key is bound
        to.
    :param incarnations: number of starts of each instance.
    :param ledgers: outcome in each instance's ledger, or None.
    :param is_claiming: per instance, whether a claim of it is undecided.
    :param sends: bookings in flight to an owner: (instance, incarnation).
    :param replies: replies in flight: (instance, incarnation, ran);
        ``ran`` is 1, 0, or -1 if the owner does not know.
    :param runs: number of times a target has run the booking.
    :param requests_left: number of requests that callers may still send.
    :param has_false_refusal: whether a caller was told ``not_run`` although a
        target had run the booking.
    """

    claim: tuple = (NO_INSTANCE, 0)
    incarnations: tuple = (1, 1)
    ledgers: tuple = (None, None)
    is_claiming: tuple = (False, False)
    sends: tuple = ()
    replies: tuple = ()
    runs: int = 0
    requests_left: int = MAX_REQUESTS
    has_false_refusal: bool = False


@functools.lru_cache(maxsize=None)
def begin_booking(outcome):
    """Begin a booking in a Ledger that holds an outcome of it.

    :param outcome: the outcome before, or None.
    :returns: (step, outcome after it), both as text.
    """
    booking_ledger = ledger.Ledger()
    if outcome is not None:
        booking_ledger._entries[TICKET_NUMBER] = ledger._Entry(
            ledger.Outcome(outcome), 0.0
        )
    decision = booking_ledger.begin(TICKET_NUMBER, 0.0, 1.0)
    return str(decision.step), str(
        booking_ledger._entries[TICKET_NUMBER].outcome
    )


@functools.lru_cache(maxsize=None)
def finish_booking(outcome, new):
    """Return the outcome in a Ledger after it has recorded a new one.

    :param outcome: the outcome before, or None.
    :param new: the outcome to record.
    """
    booking_ledger = ledger.Ledger()
    if outcome is not None:
        booking_ledger._entries[TICKET_NUMBER] = ledger._Entry(
            ledger.Outcome(outcome), 0.0
        )
    booking_ledger.finish(TICKET_NUMBER, ledger.Outcome(new))
    entry = booking_ledger._entries.get(TICKET_NUMBER)
    return None if entry is None else str(entry.outcome)


class Specification:
    """The transitions between states of the model."""

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield (label, state) for each possible step."""
        for i, name in enumerate(NAMES):
            if state.requests_left:
                yield from self._request_steps(state, i, name)
            if state.is_claiming[i]:
                yield from self._claim_steps(state, i, name)
            yield from self._restart_steps(state, i, name)
            yield from self._deadline_steps(state, i, name)
        for send in set(state.sends):
            yield from self._owner_steps(state, send)
        for reply in set(state.replies):
            yield from self._reply_steps(state, reply)

    def _request_steps(self, state, i, name):
        """A caller sends a request with the key to an instance."""
        requested = dataclasses.replace(
            state, requests_left=state.requests_left - 1
        )
        if state.claim[0] == NO_INSTANCE:
            is_claiming = checking.replace_item(state.is_claiming, i, True)
            yield (
                f'request to {name}, which claims the key',
                dataclasses.replace(requested, is_claiming=is_claiming),
            )
            return
        yield from self._arrival_steps(requested, f'request to {name}')

    def _claim_steps(self, state, i, name):
        """The store decides a claim; its reply may be lost."""
        decided = dataclasses.replace(
            state,
            is_claiming=checking.replace_item(state.is_claiming, i, False),
        )
        if state.claim[0] != NO_INSTANCE and not self._mutation.ignores_claim:
            yield from self._arrival_steps(decided, f'{name} reads the claim')
            return
        claim = (name, state.incarnations[i])
        claimed = dataclasses.replace(decided, claim=claim)
        yield from self._arrival_steps(claimed, f'{name} has claimed')
        yield (
            f'{name} has claimed, reply lost',
            dataclasses.replace(state, claim=claim),
        )
        yield (
            f'{name} abandons the claim: not run',
            self._report_not_run(decided),
        )

    def _arrival_steps(self, state, label):
        """A booking arrives at the process that issued its ticket."""
        name, incarnation = state.claim
        i = NAMES.index(name)
        is_former_process = state.incarnations[i] != incarnation
        if is_former_process and not self._mutation.runs_for_former_process:
            yield f'{label}: unknown, {name} has terminated', state
            return
        step, outcome = begin_booking(state.ledgers[i])
        if self._mutation.retries_unknown and state.ledgers[i] == (
            'unknown_outcome'
        ):
            step, outcome = 'run', 'running'
        recorded = dataclasses.replace(
            state, ledgers=checking.replace_item(state.ledgers, i, outcome)
        )
        if step == 'run':
            sends = tuple(
                sorted((*recorded.sends, (name, state.incarnations[i])))
            )
            sent = dataclasses.replace(recorded, sends=sends)
            yield f'{label}: {name} sends', sent
        elif outcome == 'not_run':
            yield f'{label}: not run', self._report_not_run(recorded)
        else:
            yield f'{label}: {outcome}', recorded

    def _owner_steps(self, state, send):
        """A target runs or refuses a booking; its reply may be lost."""
        rest = _without(state.sends, send)
        delivered = dataclasses.replace(state, sends=rest)
        ran = dataclasses.replace(delivered, runs=state.runs + 1)
        yield f'target runs for {send[0]}', _with_reply(ran, (*send, 1))
        yield f'target runs for {send[0]}, reply lost', ran
        yield (
            f'target runs for {send[0]}, outcome unknown to owner',
            _with_reply(ran, (*send, -1)),
        )
        yield (
            f'target refuses {send[0]}',
            _with_reply(delivered, (*send, 0)),
        )
        yield f'owner for {send[0]} is killed', delivered

    def _reply_steps(self, state, reply):
        """A reply reaches the issuer, possibly after the deadline."""
        name, incarnation, ran = reply
        i = NAMES.index(name)
        rest = _without(state.replies, reply)
        delivered = dataclasses.replace(state, replies=rest)
        if state.incarnations[i] != incarnation:
            yield f'reply to former process of {name}', delivered
            return
        new = {1: 'ran', 0: 'not_run', -1: 'unknown_outcome'}[ran]
        outcome = finish_booking(state.ledgers[i], new)
        recorded = dataclasses.replace(
            delivered, ledgers=checking.replace_item(state.ledgers, i, outcome)
        )
        if outcome == 'not_run':
            recorded = self._report_not_run(recorded)
        yield f'{name} receives: {outcome}', recorded

    def _deadline_steps(self, state, i, name):
        """The deadline of a running booking passes without a reply."""
        if state.ledgers[i] != 'running':
            return
        new = 'unknown_outcome'
        if self._mutation.reports_lost_as_not_run:
            new = 'not_run'
        outcome = finish_booking(state.ledgers[i], new)
        recorded = dataclasses.replace(
            state, ledgers=checking.replace_item(state.ledgers, i, outcome)
        )
        if outcome == 'not_run':
            recorded = self._report_not_run(recorded)
        yield f'{name} exceeds the deadline: {outcome}', recorded

    def _restart_steps(self, state, i, name):
        """An instance terminates and restarts with an empty ledger."""
        if state.incarnations[i] > 1:
            return
        yield (
            f'{name} restarts',
            dataclasses.replace(
                state,
                incarnations=checking.replace_item(
                    state.incarnations, i, state.incarnations[i] + 1
                ),
                ledgers=checking.replace_item(state.ledgers, i, None),
                is_claiming=checking.replace_item(state.is_claiming, i, False),
            ),
        )

    def _report_not_run(self, state):
        """Return the state after a caller has been told ``not_run``."""
        is_false = state.runs > 0
        return dataclasses.replace(
            state, has_false_refusal=state.has_false_refusal or is_false
        )


def _with_reply(state, reply):
    replies = tuple(sorted((*state.replies, reply)))
    return dataclasses.replace(state, replies=replies)


def _without(items, item):
    remaining = list(items)
    remaining.remove(item)
    return tuple(remaining)


INVARIANTS = {
    'runs_at_most_once': lambda s: s['state'].runs <= 1,
    'not_run_is_true': lambda s: not s['state'].has_false_refusal,
}


def check(mutation=None, extra=None):
    """Search all states of the specification; return the report.

    :param mutation: the Mutation to apply, or None.
    :param extra: further invariants by name.
    """
    return checking.check(
        'bookings',
        Specification(mutation or Mutation()),
        State(),
        {**INVARIANTS, **(extra or {})},
    )
