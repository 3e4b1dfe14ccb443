"""Specification of withdrawn keys: none works later than the bound.

An operator withdraws a key, and writes other keys of the store. The store may
return to an older copy, in a new era, after which the operator withdraws the
key again. An instance confirms its configuration by reads that overlap, wait
in either direction for any time, and may be lost. Time goes on between any
two steps, so that the instance may be frozen at any of them. Whether the key
is judged is decided by the product's Freshness.

A caller may send a request with the key at any moment; it would run if the
instance judges keys then, and has not applied the withdrawal.
"""

import dataclasses

from savorycross.workspace import freshness
from tests.model import checking

# In ticks of the clock. Ages beyond the last one make no difference, so that
# the search covers any time.
BOUND = 2
LAST_AGE = BOUND + 1
MAX_READS = 2
MAX_NUMBER = 2


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Guards that a mutation removes; none by default."""

    counts_from_the_answer: bool = False
    ignores_the_age: bool = False
    continues_across_eras: bool = False


@dataclasses.dataclass(frozen=True)
class Read:
    """A read of the store.

    :param age: ticks since it was sent.
    :param known: pair of era and number of the change up to which the
        configuration is known.
    :param answer: pair of the store's position and whether the withdrawal
        is among the changes since ``known``, or None if the store has not
        answered yet.
    """

    age: int
    known: tuple
    answer: tuple | None = None


@dataclasses.dataclass(frozen=True)
class State:
    """The state of the store, the operator and the instance.

    :param position: pair of the store's era and its number of changes.
    :param withdrawn: number of the change that withdrew the key, or None.
    :param withdrawn_age: ticks since the store acknowledged that.
    :param known: as of a Read.
    :param has_applied: whether the instance has applied the withdrawal.
    :param confirmed_age: age of the last confirmation.
    """

    position: tuple = (1, 1)
    withdrawn: int | None = None
    withdrawn_age: int = 0
    restores: int = 1
    reads: tuple = ()
    known: tuple = (1, 1)
    has_applied: bool = False
    confirmed_age: int = 0


def _replace(state, **fields):
    return dataclasses.replace(state, **fields)


def _tick(state):
    """Return a State after one tick of the clock."""
    aged = _replace(
        state,
        withdrawn_age=_grow(state.withdrawn_age),
        confirmed_age=_grow(state.confirmed_age),
    )
    if state.withdrawn is None:
        aged = _replace(aged, withdrawn_age=0)
    reads = [_replace(r, age=_grow(r.age)) for r in state.reads]
    return _with_reads(aged, reads)


def _grow(age):
    return min(age + 1, LAST_AGE)


def _with_reads(state, reads):
    """Return a State with reads, whose order does not matter."""
    return _replace(state, reads=tuple(sorted(reads, key=repr)))


class Specification:
    """The transitions between states of the model."""

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield (label, state) for each possible step."""
        if state.has_applied:
            # The key never works again.
            return
        yield 'tick', _tick(state)
        yield from self._store_steps(state)
        if len(state.reads) < MAX_READS:
            read = Read(0, state.known)
            yield 'send', _with_reads(state, (*state.reads, read))
        for i, read in enumerate(state.reads):
            others = state.reads[:i] + state.reads[i + 1 :]
            yield f'lose {i}', _replace(state, reads=others)
            if read.answer is None:
                answered = _replace(read, answer=self._answer(state, read))
                reads = checking.replace_item(state.reads, i, answered)
                yield f'answer {i}', _with_reads(state, reads)
            else:
                rest = _replace(state, reads=others)
                yield f'take {i}', self._take(rest, read)

    def _store_steps(self, state):
        era, number = state.position
        if number < MAX_NUMBER:
            written = _replace(state, position=(era, number + 1))
            yield 'write', written
            if state.withdrawn is None:
                yield (
                    'withdraw',
                    _replace(
                        written,
                        withdrawn=number + 1,
                        withdrawn_age=0,
                    ),
                )
        if state.restores:
            yield (
                'restore',
                _replace(
                    state,
                    position=(era + 1, 1),
                    withdrawn=None,
                    withdrawn_age=0,
                    restores=0,
                ),
            )

    def _answer(self, state, read):
        """Return the store's answer now.

        A store whose era is another one shows the configuration itself.
        """
        after = read.known[1]
        is_continued = self._mutation.continues_across_eras
        if read.known[0] != state.position[0] and not is_continued:
            after = 0
        is_shown = state.withdrawn is not None and state.withdrawn > after
        return state.position, is_shown

    def _take(self, state, read):
        """Return the State in which the instance has taken an answer."""
        position, is_shown = read.answer
        if position[0] < state.known[0]:
            return state
        age = read.age
        if self._mutation.counts_from_the_answer:
            age = 0
        return _replace(
            state,
            known=max(state.known, position),
            has_applied=state.has_applied or is_shown,
            confirmed_age=min(state.confirmed_age, age),
        )

    def judges_keys(self, state):
        """Return whether the instance judges keys now."""
        if self._mutation.ignores_the_age:
            return True
        tested = freshness.Freshness(BOUND)
        tested.confirm(-state.confirmed_age)
        return tested.is_fresh(0)


def check(mutation=Mutation()):
    """Search all states; return the checker's report."""
    specification = Specification(mutation)

    def no_key_works_later(values):
        state = values['state']
        is_late = state.withdrawn is not None and state.withdrawn_age > BOUND
        runs = specification.judges_keys(state) and not state.has_applied
        return not (is_late and runs)

    return checking.check(
        'revocation',
        specification,
        State(),
        {INVARIANT: no_key_works_later},
        400_000,
    )


INVARIANT = 'no_withdrawn_key_works_later_than_the_bound'
