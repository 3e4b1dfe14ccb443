"""Specification of ownership: at most one sender to a cold target.

Three instances, one target. The steps of an instance are calls of the
product's OwnershipLease. The model adds only the environment: time, the view
in the store, delayed reads, heartbeats that may be lost, writes whose
replies may be lost, and processes that may stop (an instance that takes no
step is frozen, killed or partitioned).
"""

import dataclasses
import functools

from savorycross.membership import lease
from tests.model import checking

TICK_S = 0.9
TARGET = 't'
NAMES = ('A', 'B', 'J')
NEVER = float('-inf')
ATTEMPT_TICKS = 2
TRACKED = {'catalogue': False}
RANKS = {1: ('J', 'A', 'B'), 2: ('B', 'A', 'J')}


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The bounds of the search.

    :param epochs: highest view epoch that the store may reach.
    :param versions: highest catalogue version.
    :param can_join: whether J, which is no member at first, may join.
    """

    epochs: int = 3
    versions: int = 1
    can_join: bool = True


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Safety checks that a mutation removes; none by default."""

    keeps_acknowledging: bool = False
    anyone_proposes: bool = False


@dataclasses.dataclass(frozen=True)
class Environment:
    """The state outside the instances: the store, reads and attempts.

    :param epoch: view epoch in the store.
    :param members: names of the members of the view in the store.
    :param version: catalogue version in the store.
    :param reads: per instance, its read of the store in flight (epoch,
        version, age in ticks), or None.
    :param attempts: per instance, number of ticks for which its request to
        the cold target may still run.
    """

    epoch: int
    members: str
    version: int
    reads: tuple
    attempts: tuple


def owner(members, version):
    """Return the owner of the target in a view, or an empty text."""
    return next((n for n in RANKS[version] if n in members), '')


def load(state, name):
    """Return an OwnershipLease in a state from ``dump``, at 0 s."""
    ownership_lease = lease.OwnershipLease(name)
    epoch, version, members, owner_name, owned_target, acks, rest = state
    ownership_lease._generation = lease.Generation(epoch, version)
    ownership_lease._others = frozenset(members) - {name}
    ownership_lease._owners = {TARGET: owner_name} if owner_name else {}
    if owned_target is not None:
        ownership_lease._owned_targets = {
            TARGET: lease._OwnedTarget(*owned_target)
        }
    ownership_lease._acks = dict(acks)
    store_at, view_at, config_at, is_proposing, released = rest
    ownership_lease._store_confirmed_at = store_at
    ownership_lease._view_adopted_at = view_at
    ownership_lease._config_adopted_at = config_at
    ownership_lease._is_proposing = is_proposing
    ownership_lease._released = dict(released)
    return ownership_lease


def dump(ownership_lease, members, elapsed=0.0):
    """Return the state of an OwnershipLease as a tuple.

    Times are relative to the end of ``elapsed`` seconds. All times that are
    too old to make a difference become NEVER, which bounds the state space.
    """
    generation = ownership_lease._generation
    owned_target = ownership_lease._owned_targets.get(TARGET)
    if owned_target is not None:
        settled_at = owned_target.settled_at - elapsed
        settled_at = NEVER if settled_at <= 0 else round(settled_at, 3)
        owned_target = (
            settled_at,
            owned_target.former_owner if settled_at > 0 else None,
        )
    acks = tuple(
        sorted(
            (n, round(t - elapsed, 3))
            for n, t in ownership_lease._acks.items()
            if t - elapsed > -lease.CONFIRMATION_S
            and owned_target
            and n in ownership_lease._others
        )
    )
    rest = (
        _recent(
            ownership_lease._store_confirmed_at - elapsed, lease.CONFIRMATION_S
        ),
        _view_age(ownership_lease, elapsed),
        _recent(ownership_lease._config_adopted_at - elapsed, lease.FENCE_S),
        ownership_lease._is_proposing,
        (),
    )
    return (
        generation.view_epoch,
        generation.config_version,
        members,
        ownership_lease._owners.get(TARGET, ''),
        owned_target,
        acks,
        rest,
    )


def _recent(when, limit):
    """Return a rounded time, or NEVER if it is at least ``limit`` s ago."""
    return NEVER if when <= -limit else round(when, 3)


def _view_age(ownership_lease, elapsed):
    """Return when the view was adopted, or NEVER if that has no effect."""
    if not TRACKED['catalogue']:
        return NEVER
    return _recent(ownership_lease._view_adopted_at - elapsed, lease.FENCE_S)


@functools.lru_cache(maxsize=None)
def wait(state, name):
    """Return the state of an instance one tick later."""
    return dump(load(state, name), state[2], TICK_S)


@functools.lru_cache(maxsize=None)
def adopt(state, name, epoch, members, version):
    """Return the state of an instance after it adopts a generation."""
    ownership_lease = load(state, name)
    generation = lease.Generation(epoch, version)
    owner_name = owner(members, version)
    owners = {TARGET: owner_name} if owner_name else {}
    ownership_lease.adopt(generation, list(members), owners, 0.0)
    return dump(ownership_lease, members)


@functools.lru_cache(maxsize=None)
def call(state, name, method, *args):
    """Return the state of an instance after a method call changed it."""
    ownership_lease = load(state, name)
    getattr(ownership_lease, method)(*args)
    return dump(ownership_lease, state[2])


@functools.lru_cache(maxsize=None)
def allows(state, name):
    """Return whether an instance may send to the cold target now."""
    return load(state, name).allows(TARGET, 0.0)


class Specification:
    """The transitions between states of the model.

    A state is an Environment and the states of the instances'
    OwnershipLease objects.
    """

    def __init__(self, bounds, mutation):
        self._bounds = bounds
        self._mutation = mutation

    def initial(self):
        """Return the initial state: A and B are settled members."""
        blank = dump(lease.OwnershipLease('x'), '')
        states = []
        for name in NAMES:
            state = blank
            if name in 'AB':
                state = adopt(state, name, 1, 'AB', 1)
                for _ in range(4):
                    state = wait(state, name)
            states.append(state)
        environment = Environment(1, 'AB', 1, (None,) * 3, (0,) * 3)
        return (environment, tuple(states))

    def transitions(self, state):
        """Yield (label, state) for each possible step."""
        environment, states = state
        yield 'tick', self._tick(environment, states)
        for i, name in enumerate(self._names()):
            yield from self._read_steps(environment, states, i, name)
            yield from self._view_steps(environment, states, i, name)
            yield from self._peer_steps(environment, states, i, name)
            if allows(states[i], name) and not environment.attempts[i]:
                attempts = checking.replace_item(
                    environment.attempts, i, ATTEMPT_TICKS
                )
                sent = dataclasses.replace(environment, attempts=attempts)
                yield f'{name} sends', (sent, states)
        if environment.version < self._bounds.versions:
            newer = dataclasses.replace(
                environment, version=environment.version + 1
            )
            yield 'operator applies', (newer, states)

    def _names(self):
        return NAMES if self._bounds.can_join else NAMES[:2]

    def _tick(self, environment, states):
        reads = tuple(
            None if r is None or r[2] >= 1 else (*r[:2], r[2] + 1)
            for r in environment.reads
        )
        attempts = tuple(max(0, a - 1) for a in environment.attempts)
        later = dataclasses.replace(
            environment, reads=reads, attempts=attempts
        )
        waited = tuple(wait(s, n) for s, n in zip(states, NAMES, strict=True))
        return later, waited

    def _read_steps(self, environment, states, i, name):
        """Yield the steps in which an instance reads the store.

        A new generation is read at once; a read that confirms the current
        generation is delayed.
        """
        state = states[i]
        current = (environment.epoch, environment.version)
        if environment.epoch > state[0] or environment.version > state[1]:
            new_state = adopt(
                state,
                name,
                environment.epoch,
                environment.members,
                environment.version,
            )
            yield (
                f'{name} reads a new generation',
                (environment, checking.replace_item(states, i, new_state)),
            )
        read = environment.reads[i]
        if read is None:
            if state[4] is not None and current == state[:2]:
                reads = checking.replace_item(
                    environment.reads, i, (*current, 0)
                )
                begun = dataclasses.replace(environment, reads=reads)
                yield f'{name} begins to read the store', (begun, states)
            return
        epoch, version, age = read
        done = dataclasses.replace(
            environment,
            reads=checking.replace_item(environment.reads, i, None),
        )
        generation = lease.Generation(epoch, version)
        new_state = call(
            state, name, 'record_store_read', generation, -age * TICK_S
        )
        yield (
            f'{name} has read the store',
            (done, checking.replace_item(states, i, new_state)),
        )

    def _view_steps(self, environment, states, i, name):
        state = states[i]
        is_proposing = state[6][3]
        may_propose = name in state[2] or self._mutation.anyone_proposes
        if (
            not may_propose
            or state[0] != environment.epoch
            and not is_proposing
        ):
            return
        if not is_proposing:
            if environment.epoch < self._bounds.epochs:
                new_state = call(state, name, 'begin_proposal')
                yield (
                    f'{name} proposes',
                    (environment, checking.replace_item(states, i, new_state)),
                )
            return
        if state[0] != environment.epoch:
            new_state = adopt(
                state, name, environment.epoch, environment.members, state[1]
            )
            yield (
                f'{name} finds another view',
                (environment, checking.replace_item(states, i, new_state)),
            )
            return
        for members in self._next_views(environment.members, name):
            yield from self._write_steps(environment, states, i, name, members)

    def _write_steps(self, environment, states, i, name, members):
        written = dataclasses.replace(
            environment, epoch=environment.epoch + 1, members=members
        )
        yield f'{name} writes {members}, reply lost', (written, states)
        new_state = adopt(
            states[i], name, written.epoch, members, states[i][1]
        )
        yield (
            f'{name} writes {members}',
            (written, checking.replace_item(states, i, new_state)),
        )

    def _next_views(self, members, name):
        for other in members:
            if other != name:
                yield members.replace(other, '')
        for other in self._names():
            if other not in members:
                yield ''.join(sorted(members + other))

    def _peer_steps(self, environment, states, i, name):
        state = states[i]
        for j, other in enumerate(self._names()):
            if i == j:
                continue
            theirs = states[j]
            if theirs[0] > state[0] or theirs[1] > state[1]:
                yield from self._gossip_steps(environment, states, i, name, j)
            if state[4] is not None and other in state[2]:
                yield from self._heartbeat_steps(
                    environment, states, i, name, j
                )
            awaits_release = state[4] is not None and state[4][1] == other
            if awaits_release and theirs[0] == state[0] and theirs[3] != other:
                yield from self._release_steps(environment, states, i, name, j)

    def _gossip_steps(self, environment, states, i, name, j):
        state, theirs = states[i], states[j]
        members = theirs[2] if theirs[0] > state[0] else state[2]
        new_state = adopt(
            state,
            name,
            max(state[0], theirs[0]),
            members,
            max(state[1], theirs[1]),
        )
        label = f'{name} learns a new generation from {NAMES[j]}'
        yield label, (environment, checking.replace_item(states, i, new_state))

    def _heartbeat_steps(self, environment, states, i, name, j):
        theirs = states[j]
        is_silent = theirs[6][3] and not self._mutation.keeps_acknowledging
        epoch = 0 if is_silent else theirs[0]
        generation = lease.Generation(epoch, theirs[1])
        new_state = call(
            states[i], name, 'record_ack', NAMES[j], generation, 0.0
        )
        if new_state != states[i]:
            label = f'{NAMES[j]} acknowledges {name}'
            yield (
                label,
                (environment, checking.replace_item(states, i, new_state)),
            )

    def _release_steps(self, environment, states, i, name, j):
        """Yield the step in which instance j releases the target to i."""
        theirs = states[j]
        ownership_lease = load(theirs, NAMES[j])
        if environment.attempts[j] or not ownership_lease.is_settled(0.0):
            return
        new_state = call(
            states[i], name, 'record_release', NAMES[j], theirs[0]
        )
        if new_state != states[i]:
            label = f'{NAMES[j]} releases to {name}'
            yield (
                label,
                (environment, checking.replace_item(states, i, new_state)),
            )


def at_most_one_sender(state):
    """Return whether at most one instance has a request at the target."""
    return sum(1 for a in state['state'][0].attempts if a) <= 1


def check(bounds=None, mutation=None, max_states=400_000, extra=None):
    """Search the states of the specification; return the checker's report.

    :param bounds: the Bounds of the search, or None.
    :param mutation: the Mutation to apply, or None.
    :param max_states: number of states after which the search ends.
    :param extra: further invariants by name.
    """
    clear()
    bounds = bounds or Bounds()
    TRACKED['catalogue'] = bounds.versions > 1
    specification = Specification(bounds, mutation or Mutation())
    invariants = {'at_most_one_sender': at_most_one_sender}
    return checking.check(
        'ownership',
        specification,
        specification.initial(),
        invariants | (extra or {}),
        max_states,
    )


def clear():
    """Clear the cached steps, which a mutation changes."""
    for cached_function in (wait, adopt, call, allows):
        cached_function.cache_clear()
