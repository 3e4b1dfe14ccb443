"""Specification of a store that is restored: no version is missed or lost.

An operator writes versions of one configuration. The store may return to an
older state, in a new era, in which it gives numbers out again; the operator
then writes its newest version again. Instances watch or list the store, and
copy from each other, through the product's Mirror; a restarted one has
nothing.
"""

import dataclasses

from savorycross.discovery import item as items
from savorycross.discovery import mirror as mirrors
from tests.model import checking

KEY = 'configuration'
INSTANCES = (0, 1)
MAX_WRITES = 3
MAX_VERSION = 3


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Guards that a mutation removes; none by default."""

    ignores_eras: bool = False
    watches_across_eras: bool = False
    takes_older_values: bool = False


@dataclasses.dataclass(frozen=True)
class Instance:
    """What an instance knows.

    :param reached: Revision that its mirror has reached.
    :param revision: Revision of the configuration there.
    :param version: version of the configuration there, or 0.
    :param in_force: highest version that it has used since its start.
    :param is_current: whether it has watched or listed the store, itself or
        through a peer, since the store last changed.
    """

    reached: items.Revision = items.NO_REVISION
    revision: items.Revision = items.NO_REVISION
    version: int = 0
    in_force: int = 0
    is_current: bool = False


@dataclasses.dataclass(frozen=True)
class State:
    """The state of the store, the operator and the instances.

    :param writes: version of each write in the history of this era.
    :param newest: newest version that the operator has written.
    :param restores: number of restores that may still happen.
    :param restarts: number of restarts that may still happen.
    """

    era: int = 1
    writes: tuple = ()
    newest: int = 0
    instances: tuple = (Instance(), Instance())
    restores: int = 2
    restarts: int = 1


def _is_older(key, value, other):
    return int(value) < int(other)


class Specification:
    """The transitions between states of the model."""

    def __init__(self, mutation):
        self._mutation = mutation

    def transitions(self, state):
        """Yield (label, state) for each possible step."""
        yield from self._store_steps(state)
        for i in INSTANCES:
            if state.writes:
                watched = self._watch(state, state.instances[i])
                yield f'watch {i}', _with_instance(state, i, watched)
            copied = self._copy(*state.instances[:: 1 - 2 * i])
            yield f'copy {i}', _with_instance(state, i, copied)
            if state.restarts:
                restarted = _with_instance(state, i, Instance())
                yield (
                    f'restart {i}',
                    dataclasses.replace(
                        restarted, restarts=state.restarts - 1
                    ),
                )

    def _store_steps(self, state):
        versions = {state.newest, min(state.newest + 1, MAX_VERSION)} - {0}
        if len(state.writes) < MAX_WRITES:
            for version in versions:
                written = _with_writes(state, (*state.writes, version))
                yield (
                    f'write {version}',
                    dataclasses.replace(written, newest=version),
                )
        if state.restores:
            for count in range(len(state.writes)):
                yield (
                    f'restore {count}',
                    dataclasses.replace(
                        _with_writes(state, state.writes[:count]),
                        era=state.era + 1,
                        restores=state.restores - 1,
                    ),
                )

    def _revision(self, era, number):
        if self._mutation.ignores_eras:
            return items.Revision(1, number)
        return items.Revision(era, number)

    def _watch(self, state, instance):
        """Return the Instance after a watch, or a listing in its place."""
        reached = instance.reached
        is_same_era = (
            reached.era == state.era or self._mutation.watches_across_eras
        )
        newest = self._revision(state.era, len(state.writes))
        if not is_same_era or reached.number != newest.number:
            instance = self._apply(instance, newest, state.writes[-1], newest)
        return dataclasses.replace(instance, is_current=True)

    def _copy(self, receiver, sender):
        """Return the receiver after it has asked the sender for a copy."""
        if sender.reached <= receiver.reached or not sender.version:
            return receiver
        copied = self._apply(
            receiver, sender.revision, sender.version, sender.reached
        )
        return dataclasses.replace(copied, is_current=sender.is_current)

    def _apply(self, instance, revision, version, reached):
        """Return an Instance whose mirror was given the configuration."""
        is_older = _is_older
        if self._mutation.takes_older_values:
            is_older = _never
        mirror = mirrors.Mirror(lambda key, changed: None, is_older)
        if instance.version:
            value = b'%d' % instance.version
            mirror.apply(items.Item(KEY, instance.revision, value), 0.0)
        mirror.revision = instance.reached
        mirror.apply(items.Item(KEY, revision, b'%d' % version), 0.0)
        held = mirror.items[KEY]
        return Instance(
            max(reached, instance.reached),
            held.revision,
            int(held.value),
            max(int(held.value), instance.in_force),
        )


def _never(key, value, other):
    return False


def _with_writes(state, writes):
    """Return a State whose store has changed."""
    instances = tuple(
        dataclasses.replace(i, is_current=False) for i in state.instances
    )
    return dataclasses.replace(state, writes=writes, instances=instances)


def _with_instance(state, i, instance):
    replaced = checking.replace_item(state.instances, i, instance)
    return dataclasses.replace(state, instances=replaced)


def _uses_what_the_store_holds(values):
    """Return whether instances that are current use at least its version."""
    state = values['state']
    return all(
        i.in_force >= state.writes[-1] for i in state.instances if i.is_current
    )


def _keeps_what_was_in_force(values):
    """Return whether each mirror, which others copy, has what is in force."""
    return all(i.version == i.in_force for i in values['state'].instances)


INVARIANTS = {
    'uses_what_the_store_holds': _uses_what_the_store_holds,
    'keeps_what_was_in_force': _keeps_what_was_in_force,
}


def check(mutation=Mutation()):
    """Search all states; return the checker's report."""
    return checking.check('eras', Specification(mutation), State(), INVARIANTS)
