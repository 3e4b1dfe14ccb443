"""The exclusive right of an instance to send to a cold target.

A target in a cold start can run so few requests that two instances must not
send to it at the same time. The right works like a lease: it ends unless it
is confirmed again, and a new owner waits until the right of the former owner
has ended. An instance sends to a cold target only if, in its adopted view and
catalogue, it owns the target, the target has settled, and view and catalogue
are confirmed:

- confirmed: within the last ``CONFIRMATION_S``, every other member of the
  view has acknowledged a heartbeat under the same view and a catalogue that
  is not newer, or the store has returned the same view and catalogue;
- settled: the target had the same owner in the generation just before, or
  its former owner has released it, or ``FENCE_S`` have passed since the
  generation was adopted.

An instance stops acknowledging its view before it proposes the next one, and
only a member of a view may propose the next. So no two instances can have the
right to the same target at once; ``tests/model`` checks this.
"""

import dataclasses

CONFIRMATION_S = 1.0
COLD_ATTEMPT_S = 1.0
FENCE_MARGIN_S = 0.25
FENCE_S = CONFIRMATION_S + COLD_ATTEMPT_S + FENCE_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnedTarget:
    """When this instance may start to send to a target that it owns.

    :param settled_at: runtime clock time from which the former owner is
        certain to send nothing any more, seconds.
    :param former_owner: name of the former owner if its release settles the
        target earlier, or None.
    """

    settled_at: float
    former_owner: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """The epoch of a view and the version of a catalogue."""

    view_epoch: int = 0
    config_version: int = 0


class OwnershipLease:
    """Tracks to which cold targets this instance alone may send.

    :param own: name of this instance.
    """

    def __init__(self, own):
        self._own = own
        self._generation = Generation()
        self._others = frozenset()
        self._owners = {}
        self._owned_targets = {}
        self._acks = {}
        self._released = {}
        self._store_confirmed_at = float('-inf')
        self._view_adopted_at = float('-inf')
        self._config_adopted_at = float('-inf')
        self._is_proposing = False

    @property
    def generation(self):
        """The Generation of the adopted view and catalogue."""
        return self._generation

    @property
    def is_proposing(self):
        """Whether this instance has stopped acknowledging its view."""
        return self._is_proposing

    def adopt(self, generation, members, owners, now):
        """Adopt a newer view, a newer catalogue or both.

        :param generation: Generation of the view and the catalogue.
        :param members: names of the view's members.
        :param owners: name of the owner by target name.
        :param now: runtime clock, seconds.
        """
        is_kept = self._keeps_owned_targets(generation, now)
        is_releasable = is_kept and self._view_step(generation) == 1
        owned_targets = {}
        for name, owner in owners.items():
            if owner == self._own:
                owned_targets[name] = self._make_owned_target(
                    name, is_kept, is_releasable, now
                )
        if generation.view_epoch != self._generation.view_epoch:
            self._view_adopted_at = now
        if generation.config_version != self._generation.config_version:
            self._config_adopted_at = now
        self._generation = generation
        self._others = frozenset(members) - {self._own}
        self._owners = owners
        self._owned_targets = owned_targets
        self._acks.clear()
        self._store_confirmed_at = float('-inf')
        self._is_proposing = False
        self._settle_released()

    def _view_step(self, generation):
        return generation.view_epoch - self._generation.view_epoch

    def _keeps_owned_targets(self, generation, now):
        """Return whether no generation in between can have had other owners.

        That is so if one number has risen by one and the other has not
        changed for so long that no instance acts on its former value.
        """
        if not self._generation.view_epoch:
            return False
        view_step = self._view_step(generation)
        config_step = (
            generation.config_version - self._generation.config_version
        )
        if (view_step, config_step) == (1, 0):
            return now >= self._config_adopted_at + FENCE_S
        if (view_step, config_step) == (0, 1):
            return now >= self._view_adopted_at + FENCE_S
        return False

    def _make_owned_target(self, name, is_kept, is_releasable, now):
        former_owner = self._owners.get(name)
        if is_kept and former_owner == self._own:
            return self._owned_targets[name]
        if is_releasable and former_owner is not None:
            return _OwnedTarget(now + FENCE_S, former_owner)
        return _OwnedTarget(now + FENCE_S)

    def begin_proposal(self):
        """Stop acknowledging the view, before the next one is proposed."""
        self._is_proposing = True

    def withdraw_proposal(self):
        """Acknowledge the view again, as the proposal has failed for sure."""
        self._is_proposing = False

    def record_ack(self, name, generation, sent_at):
        """Record a peer's acknowledgement of a heartbeat.

        :param name: name of the peer.
        :param generation: Generation of the peer.
        :param sent_at: when the heartbeat was sent; runtime clock, seconds.
        """
        if generation.view_epoch != self._generation.view_epoch:
            return
        if generation.config_version > self._generation.config_version:
            return
        if sent_at > self._acks.get(name, float('-inf')):
            self._acks[name] = sent_at

    def record_store_read(self, generation, asked_at):
        """Record the view and the catalogue that the store has returned.

        :param generation: Generation of the two.
        :param asked_at: when the reads were started; runtime clock, seconds.
        """
        if generation == self._generation:
            self._store_confirmed_at = max(self._store_confirmed_at, asked_at)

    def record_release(self, name, view_epoch):
        """Record that an instance has stopped sending to what it owned before.

        :param name: name of the instance.
        :param view_epoch: epoch of the view that it has adopted.
        """
        self._released[name] = max(view_epoch, self._released.get(name, 0))
        self._settle_released()

    def _settle_released(self):
        epoch = self._generation.view_epoch
        for name, owned in self._owned_targets.items():
            if self._released.get(owned.former_owner, 0) == epoch:
                self._owned_targets[name] = _OwnedTarget(float('-inf'))

    def is_settled(self, now):
        """Return whether all targets of this instance have settled."""
        return all(t.settled_at <= now for t in self._owned_targets.values())

    def is_confirmed(self, now):
        """Return whether view and catalogue were confirmed recently."""
        if self._is_proposing or not self._generation.view_epoch:
            return False
        since = now - CONFIRMATION_S
        if self._store_confirmed_at > since:
            return True
        if not self._others:
            return False
        return all(
            self._acks.get(name, float('-inf')) > since
            for name in self._others
        )

    def allows(self, target, now):
        """Return whether this instance may send to a target that may be cold.

        :param target: name of the target.
        :param now: runtime clock, seconds.
        """
        owned = self._owned_targets.get(target)
        if owned is None or owned.settled_at > now:
            return False
        return self.is_confirmed(now)
