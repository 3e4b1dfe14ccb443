"""Specification of the rate of a target, divided and lent among instances.

Two instances send to a target that states a rate of one request a second. The
parts are those of ``rate.share``. An instance asks the other for a token; the
reply can be lost or delivered twice, and borrowed tokens lapse, as in
``rate.bucket`` and ``rate.borrowing``. Time passes in ticks of a second.
"""

import dataclasses

from savorycross.overload import shares
from savorycross.rate import share
from standins import stated_rate
from tests.model import checking

NAMES = ('a', 'b')
RATE_PER_S = 1.0
WINDOW_TICKS = int(stated_rate.WINDOW_S)
BOUND = int(
    stated_rate.OVERAGE * stated_rate.WINDOW_S * RATE_PER_S + stated_rate.SLACK
)
MAX_TICKS = 5
# Tokens are counted in parts of one.
UNIT = 2
MAX_BORROWED = 3


def _count_units(tokens):
    units = tokens * UNIT
    assert units == int(units)
    return int(units)


_PARTS = tuple(
    share.divide(
        RATE_PER_S, shares.LimitShares(name, frozenset(NAMES)), 'target'
    )
    for name in NAMES
)
REFILLS = tuple(_count_units(part.rate_per_s) for part in _PARTS)
BURSTS = tuple(_count_units(part.burst) for part in _PARTS)


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    lender_keeps_tokens: bool = False
    copies_of_replies_count: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """Tokens, replies and sends at a moment.

    :param tokens: units in the bucket of each instance.
    :param borrowed: borrowed tokens of each instance.
    :param replies: for each instance, whether a token is on its way to it.
    :param is_due: for each instance, whether it expects that reply.
    :param sends: sends of all instances in each of the latest ticks.
    """

    tokens: tuple = BURSTS
    borrowed: tuple = (0, 0)
    replies: tuple = (False, False)
    is_due: tuple = (False, False)
    sends: tuple = (0,) * WINDOW_TICKS
    ticks: int = 0


class Specification:
    """Transitions between states.

    :param mutation: Mutation.
    """

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield pairs of a label and the next State."""
        if sum(state.sends) > BOUND:
            return
        for i, name in enumerate(NAMES):
            if state.borrowed[i] or state.tokens[i] >= UNIT:
                yield f'{name} sends', self._send(state, i)
            lender = 1 - i
            if not state.is_due[i] and state.tokens[lender] >= UNIT:
                yield f'{name} borrows', self._lend(state, i, lender)
            if state.replies[i]:
                yield f'{name} gets a reply', self._receive(state, i)
        if state.ticks < MAX_TICKS:
            yield 'tick', self._tick(state)

    def _send(self, state, i):
        sends = (*state.sends[:-1], state.sends[-1] + 1)
        if state.borrowed[i]:
            left = state.borrowed[i] - 1
            borrowed = checking.replace_item(state.borrowed, i, left)
            return dataclasses.replace(state, borrowed=borrowed, sends=sends)
        tokens = checking.replace_item(state.tokens, i, state.tokens[i] - UNIT)
        return dataclasses.replace(state, tokens=tokens, sends=sends)

    def _lend(self, state, i, lender):
        tokens = state.tokens
        if not self._mutation.lender_keeps_tokens:
            left = tokens[lender] - UNIT
            tokens = checking.replace_item(tokens, lender, left)
        return dataclasses.replace(
            state,
            tokens=tokens,
            replies=checking.replace_item(state.replies, i, True),
            is_due=checking.replace_item(state.is_due, i, True),
        )

    def _receive(self, state, i):
        """Take a reply; it stays on its way, as it may be delivered twice."""
        counts = state.is_due[i] or self._mutation.copies_of_replies_count
        borrowed = min(state.borrowed[i] + counts, MAX_BORROWED)
        return dataclasses.replace(
            state,
            borrowed=checking.replace_item(state.borrowed, i, borrowed),
            is_due=checking.replace_item(state.is_due, i, False),
        )

    def _tick(self, state):
        """Let a second pass; replies on their way are lost by then."""
        return dataclasses.replace(
            state,
            tokens=tuple(
                min(tokens + refill, burst)
                for tokens, refill, burst in zip(
                    state.tokens, REFILLS, BURSTS, strict=True
                )
            ),
            borrowed=(0,) * len(NAMES),
            replies=(False,) * len(NAMES),
            is_due=(False,) * len(NAMES),
            sends=(*state.sends[1:], 0),
            ticks=state.ticks + 1,
        )


INVARIANTS = {
    'target_gets_its_rate_at_most': lambda values: (
        sum(values['state'].sends) <= BOUND
    )
}


def check(mutation=Mutation()):
    """Search all states; return the checker's report."""
    return checking.check(
        'rate of a target', Specification(mutation), State(), INVARIANTS
    )
