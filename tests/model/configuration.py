"""Specification of configuration: one content a version, never back.

Two operators publish by compare-and-swap. Writes may be delayed, their
answers lost; an operator repeats its write, reads back, and is told whether
its sheet was accepted. Instances take versions from the store, from each
other and from operators, through the product's CatalogueKeeper; they
restart and forget.
"""

import dataclasses
import functools

from savorycross.catalogue import catalogue
from savorycross.catalogue import keeper
from tests.model import checking

OPERATORS = (0, 1)
INSTANCES = (0, 1)
MAX_REPEATS = 1


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Guards that a mutation removes; none by default."""

    writes_blindly: bool = False
    trusts_lost_answers: bool = False
    takes_any_version: bool = False
    conflict_is_a_race: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """Store, operators and instances.

    :param version: version in the store.
    :param history: operator by version, from version 1.
    :param bases: version that each operator has read, or None.
    :param flying: writes on their way: (operator, base).
    :param repeats: further writes that each operator may send.
    :param told: what each operator was told, or an empty text.
    :param held: (version, operator) at each instance.
    :param highest: highest version in each instance's present life.
    """

    version: int = 0
    history: tuple = ()
    bases: tuple = (None, None)
    flying: tuple = ()
    repeats: tuple = (MAX_REPEATS, MAX_REPEATS)
    told: tuple = ('', '')
    held: tuple = ((0, -1), (0, -1))
    highest: tuple = (0, 0)
    restarts: int = 1


@functools.lru_cache(maxsize=None)
def takes(present, offered):
    """Tell whether the keeper with one version takes another."""
    found = keeper.CatalogueKeeper()
    found.adopt_if_newer(catalogue.Catalogue(version=present))
    return found.adopt_if_newer(catalogue.Catalogue(version=offered))


class Specification:
    """The transitions of the model."""

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield (label, state) for each possible step."""
        for i in OPERATORS:
            yield from self._operator(state, i)
        for write in set(state.flying):
            yield from self._land(state, write)
        for i in INSTANCES:
            yield from self._instance(state, i)

    def _operator(self, state, i):
        if state.told[i]:
            return
        if state.bases[i] is None:
            bases = checking.put(state.bases, i, state.version)
            yield (
                f'operator {i} reads',
                dataclasses.replace(state, bases=bases),
            )
            return
        if state.repeats[i] >= 0:
            flying = tuple(sorted((*state.flying, (i, state.bases[i]))))
            repeats = checking.put(state.repeats, i, state.repeats[i] - 1)
            yield (
                f'operator {i} writes',
                dataclasses.replace(state, flying=flying, repeats=repeats),
            )
        if state.repeats[i] < MAX_REPEATS:
            yield from self._conclude(state, i)

    def _conclude(self, state, i):
        """An operator learns what became of its writes."""
        base = state.bases[i]
        if self._mutation.trusts_lost_answers:
            yield f'operator {i} assumes', _tell(state, i, 'accepted')
        if state.version == base:
            return
        landed = i in state.history
        if self._mutation.conflict_is_a_race:
            landed = False
        told = 'accepted' if landed else 'raced'
        yield f'operator {i} reads back: {told}', _tell(state, i, told)

    def _land(self, state, write):
        """A write reaches the store."""
        i, base = write
        left = list(state.flying)
        left.remove(write)
        arrived = dataclasses.replace(state, flying=tuple(left))
        if base != state.version and not self._mutation.writes_blindly:
            yield f'write of {i} conflicts', arrived
            return
        history = (*state.history[:base], i)
        yield (
            f'write of {i} lands',
            dataclasses.replace(arrived, version=base + 1, history=history),
        )

    def _instance(self, state, i):
        if state.version:
            stored = (state.version, state.history[-1])
            yield from self._offer(state, i, stored, 'store')
        for j in INSTANCES:
            if j != i:
                yield from self._offer(state, i, state.held[j], f'{j}')
        if state.restarts:
            yield (
                f'instance {i} restarts',
                dataclasses.replace(
                    state,
                    held=checking.put(state.held, i, (0, -1)),
                    highest=checking.put(state.highest, i, 0),
                    restarts=state.restarts - 1,
                ),
            )

    def _offer(self, state, i, offered, source):
        present = state.held[i]
        taken = takes(present[0], offered[0])
        if self._mutation.takes_any_version:
            taken = offered[0] > 0
        if not taken or offered == present:
            return
        highest = max(state.highest[i], offered[0])
        yield (
            f'instance {i} hears from {source}',
            dataclasses.replace(
                state,
                held=checking.put(state.held, i, offered),
                highest=checking.put(state.highest, i, highest),
            ),
        )


def _tell(state, i, what):
    return dataclasses.replace(state, told=checking.put(state.told, i, what))


def one_content_for_each_version(found):
    """No two holders have one version with different contents."""
    state = found['state']
    contents = dict(enumerate(state.history, 1))
    return all(
        not version or contents.get(version) == author
        for version, author in state.held
    )


def never_reverts(found):
    """No instance has an older version than before in its life."""
    state = found['state']
    return all(
        held[0] == highest
        for held, highest in zip(state.held, state.highest, strict=True)
    )


def operators_are_told_truly(found):
    """Accepted sheets became versions; raced ones never did."""
    state = found['state']
    return all(
        not told or (told == 'accepted') == (i in state.history)
        for i, told in enumerate(state.told)
    )


INVARIANTS = {
    'one_content_for_each_version': one_content_for_each_version,
    'never_reverts': never_reverts,
    'operators_are_told_truly': operators_are_told_truly,
}


def check(mutation=None, extra=None):
    """Return the checker's report on the specification."""
    return checking.check(
        'configuration',
        Specification(mutation or Mutation()),
        State(),
        {**INVARIANTS, **(extra or {})},
    )
