"""Specification of ownership: at most one sender to a cold target.

Three instances, one target. Steps of an instance are calls of the
product's OwnershipLease; what is modelled here is only the world around it:
time, the store's view, delayed reads, heartbeats that may be lost, writes
whose answers may be lost, and processes that may stand still (an instance
that takes no step is frozen, killed or cut off).
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
    """How far the search goes.

    :param epochs: last epoch that the store may reach.
    :param versions: last catalogue version.
    """

    epochs: int = 3
    versions: int = 1
    can_join: bool = True


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Guards that a mutation removes; none by default."""

    keeps_acknowledging: bool = False
    anyone_proposes: bool = False


@dataclasses.dataclass(frozen=True)
class World:
    """What lies outside the instances: store and clock-bound work.

    :param reads: per instance, a read of the store on its way: epoch,
        version and age in ticks; or None.
    :param attempts: per instance, ticks for which its request to the cold
        target may still run.
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
    """Return an OwnershipLease in a recorded state, at time 0."""
    found = lease.OwnershipLease(name)
    epoch, version, members, owned_by, tenure, acks, rest = state
    found._generation = lease.Generation(epoch, version)
    found._others = frozenset(members) - {name}
    found._owners = {TARGET: owned_by} if owned_by else {}
    if tenure is not None:
        found._owned_targets = {TARGET: lease._OwnedTarget(*tenure)}
    found._acks = dict(acks)
    store, view_at, config_at, proposing, released = rest
    found._store_confirmed_at = store
    found._view_adopted_at = view_at
    found._config_adopted_at = config_at
    found._is_proposing = proposing
    found._released = dict(released)
    return found


def dump(found, members, elapsed=0.0):
    """Return the state of an OwnershipLease, with times as seen later.

    Times that make no difference any more become one value.
    """
    generation = found._generation
    tenure = found._owned_targets.get(TARGET)
    if tenure is not None:
        settled = tenure.settled_at - elapsed
        settled = NEVER if settled <= 0 else round(settled, 3)
        tenure = (settled, tenure.former_owner if settled > 0 else None)
    acks = tuple(
        sorted(
            (n, round(t - elapsed, 3))
            for n, t in found._acks.items()
            if t - elapsed > -lease.CONFIRMATION_S
            and tenure
            and n in found._others
        )
    )
    rest = (
        _recent(found._store_confirmed_at - elapsed, lease.CONFIRMATION_S),
        _view_age(found, elapsed),
        _recent(found._config_adopted_at - elapsed, lease.FENCE_S),
        found._is_proposing,
        (),
    )
    return (
        generation.view_epoch,
        generation.config_version,
        members,
        found._owners.get(TARGET, ''),
        tenure,
        acks,
        rest,
    )


def _recent(when, limit):
    """Return a time, or one value for all that make no difference."""
    return NEVER if when <= -limit else round(when, 3)


def _view_age(found, elapsed):
    """Return when the view was adopted, while that makes a difference."""
    if not TRACKED['catalogue']:
        return NEVER
    return _recent(found._view_adopted_at - elapsed, lease.FENCE_S)


@functools.lru_cache(maxsize=None)
def wait(state, name):
    """Let one tick pass for an instance."""
    return dump(load(state, name), state[2], TICK_S)


@functools.lru_cache(maxsize=None)
def adopt(state, name, epoch, members, version):
    """Adopt a view and a catalogue."""
    found = load(state, name)
    generation = lease.Generation(epoch, version)
    held = owner(members, version)
    owners = {TARGET: held} if held else {}
    found.adopt(generation, list(members), owners, 0.0)
    return dump(found, members)


@functools.lru_cache(maxsize=None)
def call(state, name, method, *args):
    """Call a method of the OwnershipLease that changes it."""
    found = load(state, name)
    getattr(found, method)(*args)
    return dump(found, state[2])


@functools.lru_cache(maxsize=None)
def allows(state, name):
    """Tell whether an instance may send to the cold target now."""
    return load(state, name).allows(TARGET, 0.0)


class Specification:
    """The transitions of the model.

    A state is a World and the OwnershipLease states of the instances.
    """

    def __init__(self, bounds, mutation):
        self._bounds = bounds
        self._mutation = mutation

    def initial(self):
        """Return the first state: A and B are settled members."""
        blank = dump(lease.OwnershipLease('x'), '')
        states = []
        for name in NAMES:
            state = blank
            if name in 'AB':
                state = adopt(state, name, 1, 'AB', 1)
                for _ in range(4):
                    state = wait(state, name)
            states.append(state)
        world = World(1, 'AB', 1, (None,) * 3, (0,) * 3)
        return (world, tuple(states))

    def transitions(self, state):
        """Return (label, state) for each possible step."""
        world, states = state
        yield 'tick', self._tick(world, states)
        for i, name in enumerate(self._names()):
            yield from self._read_steps(world, states, i, name)
            yield from self._view_steps(world, states, i, name)
            yield from self._peer_steps(world, states, i, name)
            if allows(states[i], name) and not world.attempts[i]:
                attempts = checking.put(world.attempts, i, ATTEMPT_TICKS)
                sent = dataclasses.replace(world, attempts=attempts)
                yield f'{name} sends', (sent, states)
        if world.version < self._bounds.versions:
            newer = dataclasses.replace(world, version=world.version + 1)
            yield 'operator applies', (newer, states)

    def _names(self):
        return NAMES if self._bounds.can_join else NAMES[:2]

    def _tick(self, world, states):
        reads = tuple(
            None if r is None or r[2] >= 1 else (*r[:2], r[2] + 1)
            for r in world.reads
        )
        attempts = tuple(max(0, a - 1) for a in world.attempts)
        later = dataclasses.replace(world, reads=reads, attempts=attempts)
        waited = tuple(wait(s, n) for s, n in zip(states, NAMES, strict=True))
        return later, waited

    def _read_steps(self, world, states, i, name):
        """Read the store: at once for news, with a delay to confirm."""
        state = states[i]
        current = (world.epoch, world.version)
        if world.epoch > state[0] or world.version > state[1]:
            made = adopt(
                state, name, world.epoch, world.members, world.version
            )
            yield f'{name} reads news', (world, checking.put(states, i, made))
        read = world.reads[i]
        if read is None:
            if state[4] is not None and current == state[:2]:
                reads = checking.put(world.reads, i, (*current, 0))
                begun = dataclasses.replace(world, reads=reads)
                yield f'{name} begins to read', (begun, states)
            return
        epoch, version, age = read
        done = dataclasses.replace(
            world, reads=checking.put(world.reads, i, None)
        )
        generation = lease.Generation(epoch, version)
        made = call(
            state, name, 'record_store_read', generation, -age * TICK_S
        )
        yield f'{name} has read', (done, checking.put(states, i, made))

    def _view_steps(self, world, states, i, name):
        state = states[i]
        proposing = state[6][3]
        entitled = name in state[2] or self._mutation.anyone_proposes
        if not entitled or state[0] != world.epoch and not proposing:
            return
        if not proposing:
            if world.epoch < self._bounds.epochs:
                made = call(state, name, 'begin_proposal')
                yield (
                    f'{name} proposes',
                    (world, checking.put(states, i, made)),
                )
            return
        if state[0] != world.epoch:
            made = adopt(state, name, world.epoch, world.members, state[1])
            yield (
                f'{name} finds another view',
                (world, checking.put(states, i, made)),
            )
            return
        for members in self._next_views(world.members, name):
            yield from self._write(world, states, i, name, members)

    def _write(self, world, states, i, name, members):
        written = dataclasses.replace(
            world, epoch=world.epoch + 1, members=members
        )
        yield f'{name} writes {members}, answer lost', (written, states)
        made = adopt(states[i], name, written.epoch, members, states[i][1])
        yield (
            f'{name} writes {members}',
            (written, checking.put(states, i, made)),
        )

    def _next_views(self, members, name):
        for other in members:
            if other != name:
                yield members.replace(other, '')
        for other in self._names():
            if other not in members:
                yield ''.join(sorted(members + other))

    def _peer_steps(self, world, states, i, name):
        state = states[i]
        for j, other in enumerate(self._names()):
            if i == j:
                continue
            theirs = states[j]
            if theirs[0] > state[0] or theirs[1] > state[1]:
                yield from self._gossip(world, states, i, name, j)
            if state[4] is not None and other in state[2]:
                yield from self._heartbeat(world, states, i, name, j)
            waits = state[4] is not None and state[4][1] == other
            if waits and theirs[0] == state[0] and theirs[3] != other:
                yield from self._release(world, states, i, name, j)

    def _gossip(self, world, states, i, name, j):
        state, theirs = states[i], states[j]
        members = theirs[2] if theirs[0] > state[0] else state[2]
        made = adopt(
            state,
            name,
            max(state[0], theirs[0]),
            members,
            max(state[1], theirs[1]),
        )
        label = f'{name} hears news from {NAMES[j]}'
        yield label, (world, checking.put(states, i, made))

    def _heartbeat(self, world, states, i, name, j):
        theirs = states[j]
        silent = theirs[6][3] and not self._mutation.keeps_acknowledging
        epoch = 0 if silent else theirs[0]
        generation = lease.Generation(epoch, theirs[1])
        made = call(states[i], name, 'record_ack', NAMES[j], generation, 0.0)
        if made != states[i]:
            label = f'{NAMES[j]} answers {name}'
            yield label, (world, checking.put(states, i, made))

    def _release(self, world, states, i, name, j):
        """Instance j tells i that it sends nothing to the target."""
        theirs = states[j]
        found = load(theirs, NAMES[j])
        if world.attempts[j] or not found.is_settled(0.0):
            return
        made = call(states[i], name, 'record_release', NAMES[j], theirs[0])
        if made != states[i]:
            label = f'{NAMES[j]} releases to {name}'
            yield label, (world, checking.put(states, i, made))


def at_most_one_sender(state):
    """The invariant: one request source at a cold target at a time."""
    return sum(1 for a in state['state'][0].attempts if a) <= 1


def check(bounds=None, mutation=None, max_states=400_000, extra=None):
    """Return the checker's report on the specification.

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
    """Forget remembered steps, for a mutation changes them."""
    for remembered in (wait, adopt, call, allows):
        remembered.cache_clear()
