"""Specification of the shares of the sends to a cold target.

Three instances share a limit of one send in a window. The set of senders
changes twice, and each instance learns of a change at its own time, within
the spread that the product allows for. An instance sends if every view that
it held lately gives it the unit, as ``Engine`` does. Time passes in ticks; a
window of sends is two ticks long.
"""

import dataclasses

from savorycross.forward import target_state
from savorycross.overload import share_views
from savorycross.overload import shares
from tests.model import checking

NAMES = ('a', 'b', 'c')
TOTAL = 1
WINDOW_TICKS = 2
TICKS_PER_S = WINDOW_TICKS / target_state.COLD_WINDOW_S
SPREAD_TICKS = int(share_views.VIEW_SPREAD_S * TICKS_PER_S)
MAX_TICKS = 14
# The set of senders, as it changes.
SENDERS = (frozenset('ab'), frozenset('bc'), frozenset('ac'))
KEYS = ('target-1', 'target-2', 'target-3', 'target-4')


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    forgets_former_views: bool = False
    ignores_the_spread: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """Views and sends at a moment.

    :param current: number of the newest set of senders.
    :param age: ticks since it came into being.
    :param views: number of the set that each instance knows.
    :param former: for each instance, pairs of a former number and the ticks
        for which it still counts.
    :param sends: for each instance, the ticks for which its send counts; 0
        for none.
    """

    current: int = 0
    age: int = 0
    ticks: int = 0
    views: tuple = (0, 0, 0)
    former: tuple = ((), (), ())
    sends: tuple = (0, 0, 0)


class Specification:
    """Transitions between states for one target.

    :param key: id of the target.
    :param mutation: Mutation.
    """

    def __init__(self, key, mutation):
        self._key = key
        retention = WINDOW_TICKS
        if not mutation.ignores_the_spread:
            retention += SPREAD_TICKS
        if mutation.forgets_former_views:
            retention = 0
        self._retention = retention

    def transitions(self, state):
        """Yield pairs of a label and the next State."""
        is_known = all(view == state.current for view in state.views)
        if state.current + 1 < len(SENDERS) and is_known:
            yield (
                'change',
                dataclasses.replace(state, current=state.current + 1, age=0),
            )
        for i, name in enumerate(NAMES):
            if state.views[i] != state.current:
                yield f'{name} learns', self._learn(state, i)
            if not state.sends[i] and self._may_send(state, i):
                sends = checking.replace_item(state.sends, i, WINDOW_TICKS)
                yield f'{name} sends', dataclasses.replace(state, sends=sends)
        if state.ticks < MAX_TICKS and (is_known or state.age < SPREAD_TICKS):
            yield 'tick', self._tick(state)

    def _learn(self, state, i):
        former = state.former[i]
        if self._retention:
            former = (*former, (state.views[i], self._retention))
        return dataclasses.replace(
            state,
            views=checking.replace_item(state.views, i, state.current),
            former=checking.replace_item(state.former, i, former),
        )

    def _may_send(self, state, i):
        numbers = {state.views[i], *(n for n, _ in state.former[i])}
        return all(
            shares.LimitShares(NAMES[i], SENDERS[n]).units(TOTAL, self._key)
            for n in numbers
        )

    @staticmethod
    def _tick(state):
        former = tuple(
            tuple((n, left - 1) for n, left in pairs if left > 1)
            for pairs in state.former
        )
        sends = tuple(max(left - 1, 0) for left in state.sends)
        return dataclasses.replace(
            state,
            age=state.age + 1,
            ticks=state.ticks + 1,
            former=former,
            sends=sends,
        )


INVARIANTS = {
    'target_gets_its_limit_at_most': lambda values: (
        sum(left > 0 for left in values['state'].sends) <= TOTAL
    )
}


def check(key, mutation=Mutation()):
    """Search all states for one target; return the checker's report."""
    return checking.check(
        f'shares of {key}',
        Specification(key, mutation),
        State(),
        INVARIANTS,
    )
