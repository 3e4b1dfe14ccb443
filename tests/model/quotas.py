"""Specification of the quota of a workspace, divided among instances.

Two instances admit requests of a workspace whose bound has a window of two
ticks, so that it has requests of three. The parts are those of
``quota.division``. An instance asks the other for a token; the reply can be
lost, or arrive a tick late. An instance dies and is replaced, or ends for
good, and the other takes its part over once its entry was removed, which
happens a tick later at the earliest; one that is cut off knows by then that
its part is no longer its own, and uses none here instead of the tenth of
``division.UNCERTAIN_PART``.
"""

import dataclasses

from savorycross.gateway import instance_settings
from savorycross.overload import shares
from savorycross.quota import division
from savorycross.workspace import workspace
from tests.model import checking

NAMES = ('a', 'b')
WINDOW_TICKS = 2
LIMITS = instance_settings.QuotaLimits(WINDOW_TICKS, 0.0, 0.0)
LIMITED = workspace.Workspace('w', 0, 2.0, 2.0)
BOUND = int(LIMITED.rate_per_s * WINDOW_TICKS + LIMITED.burst)
MAX_TICKS = 4
MAX_RESTARTS = 2


def _divide(names):
    """Return the parts of the instances, in whole tokens and ticks.

    The time that tokens are on their way lowers the rate, see
    ``division.ON_THE_WAY_S``; here it is less than a tick and is left out.
    """
    grant = division.Grant(LIMITED.rate_per_s, LIMITED.burst)
    return tuple(
        division.divide(
            grant,
            division.HolderView(shares.LimitShares(name, frozenset(names))),
            LIMITED.name,
        )
        for name in NAMES
    )


BOTH = _divide(NAMES)
ONLY = {i: _divide((name,)) for i, name in enumerate(NAMES)}


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    lender_keeps_tokens: bool = False
    late_replies_count: bool = False
    restart_is_full: bool = False
    silence_is_death: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """Tokens, messages and admitted requests at a moment.

    :param tokens: tokens in the bucket of each instance.
    :param replies: for each instance, the age in ticks of a token that is on
        its way to it, or None.
    :param is_due: for each instance, whether it expects that reply.
    :param admitted: requests admitted in each of the latest ticks.
    :param is_cut: whether the instances hear neither each other nor, in the
        case of the second one, the store.
    :param is_removed: whether the store removed the entry of the second one.
    """

    tokens: tuple = tuple(int(part.burst) for part in BOTH)
    replies: tuple = (None, None)
    is_due: tuple = (False, False)
    admitted: tuple = (0,) * (WINDOW_TICKS + 1)
    is_cut: bool = False
    is_removed: bool = False
    restarts: int = 0
    ticks: int = 0


class Specification:
    """Transitions between states.

    :param mutation: Mutation.
    """

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield pairs of a label and the next State."""
        if sum(state.admitted) > BOUND:
            return
        for i, name in enumerate(NAMES):
            lender = 1 - i
            if state.tokens[i]:
                yield f'{name} admits', self._admit(state, i)
            if (
                not state.is_cut
                and state.replies[i] is None
                and state.tokens[lender]
            ):
                yield f'{name} borrows', self._lend(state, i, lender)
            if state.replies[i] is not None:
                yield f'{name} gets a reply', self._receive(state, i)
                yield f'reply to {name} is lost', self._lose(state, i)
            if state.restarts < MAX_RESTARTS:
                yield f'{name} is replaced', self._restart(state, i)
        if not state.is_cut:
            yield 'b is cut off', dataclasses.replace(state, is_cut=True)
        if state.ticks < MAX_TICKS:
            yield 'tick', self._tick(state)

    def _admit(self, state, i):
        admitted = (*state.admitted[:-1], state.admitted[-1] + 1)
        return self._set_tokens(
            dataclasses.replace(state, admitted=admitted),
            i,
            state.tokens[i] - 1,
        )

    def _lend(self, state, i, lender):
        if not self._mutation.lender_keeps_tokens:
            state = self._set_tokens(state, lender, state.tokens[lender] - 1)
        return dataclasses.replace(
            state,
            replies=checking.replace_item(state.replies, i, 0),
            is_due=checking.replace_item(state.is_due, i, True),
        )

    def _receive(self, state, i):
        """Use a borrowed token at once, for the request that waits for it."""
        counts = state.is_due[i] or self._mutation.late_replies_count
        if counts:
            admitted = (*state.admitted[:-1], state.admitted[-1] + 1)
            state = dataclasses.replace(state, admitted=admitted)
        return self._lose(state, i)

    def _lose(self, state, i):
        return dataclasses.replace(
            state,
            replies=checking.replace_item(state.replies, i, None),
            is_due=checking.replace_item(state.is_due, i, False),
        )

    def _restart(self, state, i):
        full = int(BOTH[i].burst) if self._mutation.restart_is_full else 0
        state = dataclasses.replace(state, restarts=state.restarts + 1)
        state = dataclasses.replace(
            state, is_due=checking.replace_item(state.is_due, i, False)
        )
        return self._set_tokens(state, i, full)

    def _tick(self, state):
        """Let a tick pass; replies that are still on their way are late."""
        takes_over = state.is_cut and (
            state.is_removed or self._mutation.silence_is_death
        )
        parts = ONLY[0] if takes_over else BOTH
        if self._mutation.silence_is_death and takes_over:
            parts = (ONLY[0][0], ONLY[1][1])
        return dataclasses.replace(
            state,
            tokens=tuple(
                min(tokens + int(part.rate_per_s), int(part.burst))
                for tokens, part in zip(state.tokens, parts, strict=True)
            ),
            replies=tuple(
                None if age is None or age else age + 1
                for age in state.replies
            ),
            is_due=(False,) * len(NAMES),
            admitted=(*state.admitted[1:], 0),
            is_removed=state.is_cut,
            ticks=state.ticks + 1,
        )

    @staticmethod
    def _set_tokens(state, i, tokens):
        return dataclasses.replace(
            state, tokens=checking.replace_item(state.tokens, i, tokens)
        )


INVARIANTS = {
    'workspace_gets_its_quota_at_most': lambda values: (
        sum(values['state'].admitted) <= BOUND
    )
}


def check(mutation=Mutation()):
    """Search all states; return the checker's report."""
    return checking.check(
        'quota of a workspace', Specification(mutation), State(), INVARIANTS
    )
