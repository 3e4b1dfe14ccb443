"""Specification of configuration: one content a version, no reversion.

Two operators publish by compare-and-swap. Writes may be delayed, and their
replies may be lost; an operator repeats its write, reads back, and is told
whether its sheet was accepted. Instances receive versions from the store and
from each other, through the product's CatalogueKeeper; a restarted instance
has none.
"""

import dataclasses
import functools

from savorycross.catalogue import catalogue
from savorycross.catalogue import keeper
from tests.model import checking

OPERATORS = (0, 1)
INSTANCES = (0, 1)
MAX_RETRIES = 1


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    writes_unconditionally: bool = False
    trusts_lost_answers: bool = False
    adopts_any_version: bool = False
    conflict_is_a_race: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """The state of the store, the operators and the instances.

    :param version: version in the store.
    :param history: operator that wrote each version, from version 1.
    :param base_versions: version that each operator has read, or None.
    :param writes_in_flight: sent and not yet applied: (operator, base
        version).
    :param retries_left: number of writes that each operator may still send,
        less one; -1 if there are none.
    :param outcomes: outcome that was reported to each operator, or an empty
        text.
    :param current: (version, operator) of the catalogue at each instance.
    :param highest: highest version of each instance since it started.
    :param restarts: number of restarts that may still happen.
    """

    version: int = 0
    history: tuple = ()
    base_versions: tuple = (None, None)
    writes_in_flight: tuple = ()
    retries_left: tuple = (MAX_RETRIES, MAX_RETRIES)
    outcomes: tuple = ('', '')
    current: tuple = ((0, -1), (0, -1))
    highest: tuple = (0, 0)
    restarts: int = 1


@functools.lru_cache(maxsize=None)
def is_adopted(current_version, offered):
    """Return whether a keeper of one version adopts another."""
    catalogue_keeper = keeper.CatalogueKeeper()
    catalogue_keeper.adopt_if_newer(
        catalogue.Catalogue(version=current_version)
    )
    return catalogue_keeper.adopt_if_newer(
        catalogue.Catalogue(version=offered)
    )


class Specification:
    """The transitions between states of the model."""

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield (label, state) for each possible step."""
        for i in OPERATORS:
            yield from self._operator_steps(state, i)
        for write in set(state.writes_in_flight):
            yield from self._write_steps(state, write)
        for i in INSTANCES:
            yield from self._instance_steps(state, i)

    def _operator_steps(self, state, i):
        if state.outcomes[i]:
            return
        if state.base_versions[i] is None:
            base_versions = checking.replace_item(
                state.base_versions, i, state.version
            )
            yield (
                f'operator {i} reads',
                dataclasses.replace(state, base_versions=base_versions),
            )
            return
        if state.retries_left[i] >= 0:
            writes_in_flight = tuple(
                sorted((*state.writes_in_flight, (i, state.base_versions[i])))
            )
            retries_left = checking.replace_item(
                state.retries_left, i, state.retries_left[i] - 1
            )
            yield (
                f'operator {i} writes',
                dataclasses.replace(
                    state,
                    writes_in_flight=writes_in_flight,
                    retries_left=retries_left,
                ),
            )
        if state.retries_left[i] < MAX_RETRIES:
            yield from self._outcome_steps(state, i)

    def _outcome_steps(self, state, i):
        """An operator determines the outcome of its writes."""
        base_version = state.base_versions[i]
        if self._mutation.trusts_lost_answers:
            yield (
                f'operator {i} assumes success',
                _report(state, i, 'accepted'),
            )
        if state.version == base_version:
            return
        is_accepted = i in state.history
        if self._mutation.conflict_is_a_race:
            is_accepted = False
        outcome = 'accepted' if is_accepted else 'raced'
        yield f'operator {i} reads back: {outcome}', _report(state, i, outcome)

    def _write_steps(self, state, write):
        """A write reaches the store."""
        i, base_version = write
        remaining = list(state.writes_in_flight)
        remaining.remove(write)
        arrived = dataclasses.replace(state, writes_in_flight=tuple(remaining))
        if (
            base_version != state.version
            and not self._mutation.writes_unconditionally
        ):
            yield f'write of {i} conflicts', arrived
            return
        history = (*state.history[:base_version], i)
        yield (
            f'write of {i} succeeds',
            dataclasses.replace(
                arrived, version=base_version + 1, history=history
            ),
        )

    def _instance_steps(self, state, i):
        if state.version:
            stored = (state.version, state.history[-1])
            yield from self._adoption_steps(state, i, stored, 'store')
        for j in INSTANCES:
            if j != i:
                yield from self._adoption_steps(
                    state, i, state.current[j], f'{j}'
                )
        if state.restarts:
            yield (
                f'instance {i} restarts',
                dataclasses.replace(
                    state,
                    current=checking.replace_item(state.current, i, (0, -1)),
                    highest=checking.replace_item(state.highest, i, 0),
                    restarts=state.restarts - 1,
                ),
            )

    def _adoption_steps(self, state, i, offered, source):
        current = state.current[i]
        is_offer_adopted = is_adopted(current[0], offered[0])
        if self._mutation.adopts_any_version:
            is_offer_adopted = offered[0] > 0
        if not is_offer_adopted or offered == current:
            return
        highest = max(state.highest[i], offered[0])
        yield (
            f'instance {i} adopts from {source}',
            dataclasses.replace(
                state,
                current=checking.replace_item(state.current, i, offered),
                highest=checking.replace_item(state.highest, i, highest),
            ),
        )


def _report(state, i, outcome):
    return dataclasses.replace(
        state, outcomes=checking.replace_item(state.outcomes, i, outcome)
    )


def one_content_for_each_version(values):
    """Return whether no instance has other content than the store."""
    state = values['state']
    contents = dict(enumerate(state.history, 1))
    return all(
        not version or contents.get(version) == author
        for version, author in state.current
    )


def never_reverts(values):
    """Return whether no instance's version decreased since its start."""
    state = values['state']
    return all(
        current[0] == highest
        for current, highest in zip(state.current, state.highest, strict=True)
    )


def operators_are_told_truly(values):
    """Return whether accepted sheets became versions and raced ones not."""
    state = values['state']
    return all(
        not outcome or (outcome == 'accepted') == (i in state.history)
        for i, outcome in enumerate(state.outcomes)
    )


INVARIANTS = {
    'one_content_for_each_version': one_content_for_each_version,
    'never_reverts': never_reverts,
    'operators_are_told_truly': operators_are_told_truly,
}


def check(mutation=None, extra=None):
    """Search all states of the specification; return the report.

    :param mutation: the Mutation to apply, or None.
    :param extra: further invariants by name.
    """
    return checking.check(
        'configuration',
        Specification(mutation or Mutation()),
        State(),
        {**INVARIANTS, **(extra or {})},
    )
