"""Inventories: which shards of which snapshots targets hold."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """A version of an index together with a shard map.

    :param version: version of the index.
    :param epoch: number of the shard map.
    """

    version: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """The shards that a target can answer from one snapshot.

    :param total: number of shards of the service under the shard map.
    :param shards: shard numbers, each below ``total``.
    """

    snapshot: Snapshot
    total: int
    shards: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInventory:
    """What a target reports about itself and the shards that it holds.

    :param target: name of the target.
    :param boot: identity of the target's process; changes on a restart.
    :param warm: whether the target's caches are warm.
    :param draining: whether the target takes no new work.
    :param stamp: hybrid logical clock stamp of the report.
    :param rate_per_s: requests a second that the target takes from all
        instances together; None if it states no limit.
    """

    target: str
    boot: str
    warm: bool
    draining: bool
    holdings: tuple[Holding, ...]
    stamp: int = 0
    rate_per_s: float | None = None

    def total(self, epoch):
        """Return the number of shards under a shard map, or None.

        :param epoch: number of the shard map.
        """
        for holding in self.holdings:
            if holding.snapshot.epoch == epoch:
                return holding.total
        return None


class InventoryTable:
    """The latest inventory of each target, as reported to any owner.

    ``generation`` is incremented with each change.
    """

    def __init__(self):
        self._by_target = {}
        self.generation = 0

    def get(self, target):
        """Return the inventory of a target, or None."""
        return self._by_target.get(target)

    def update(self, inventory):
        """Store an inventory if it is newer than the current one.

        :returns: whether it was stored.
        """
        current = self._by_target.get(inventory.target)
        if current is not None and current.stamp >= inventory.stamp:
            return False
        self._by_target[inventory.target] = inventory
        self.generation += 1
        return True

    def list_all(self):
        """Return a list of all inventories."""
        return list(self._by_target.values())
