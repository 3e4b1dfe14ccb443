"""Query plans: one snapshot, its shards and their replica sets."""

import collections
import dataclasses

from savorycross.plan import inventory


@dataclasses.dataclass(frozen=True)
class Plan:
    """The shards of a query, and the replica sets that can answer them.

    :param snapshot: the snapshot from which every shard must answer.
    :param shards_by_replica_set: shard keys by name of the replica set.
    :param missed: cause by shard key, for shards that no target can answer.
    :param is_settled: False if the plan uses the declared number of shards
        of a service because its usable targets have reported only their
        numbers under other shard maps.
    """

    index: str
    snapshot: inventory.Snapshot
    shards_by_replica_set: dict[str, tuple[str, ...]]
    missed: dict[str, str]
    is_settled: bool = True

    @property
    def asked(self):
        """Number of shards that belong to the query, missed ones included."""
        return sum(map(len, self.shards_by_replica_set.values())) + len(
            self.missed
        )


def shard_key(service, number):
    """Return the key of a shard.

    >>> shard_key('fit-records', 3)
    'fit-records/3'
    """
    return f'{service}/{number}'


class Planner:
    """Chooses the snapshot and the replica sets of queries.

    Plans are cached until the catalogue, an inventory or the usability of a
    target changes.

    :param inventories: InventoryTable.
    :param is_usable: callable of a target's name that returns whether the
        target may get new work.
    """

    def __init__(self, inventories, is_usable):
        self._inventories = inventories
        self._is_usable = is_usable
        self._cache = {}
        self._cache_key = None

    def plan(self, catalogue, index, states_generation, avoid=frozenset()):
        """Return the Plan of a query over an index.

        :param catalogue: Catalogue.
        :param index: name of the index.
        :param states_generation: number that changes whenever the result of
            ``is_usable`` changes for a target.
        :param avoid: snapshots that are no longer available.
        """
        key = (
            catalogue.version,
            self._inventories.generation,
            states_generation,
        )
        if key != self._cache_key:
            self._cache.clear()
            self._cache_key = key
        plan = self._cache.get((index, avoid))
        if plan is None:
            plan = self._make_plan(catalogue, index, avoid)
            self._cache[index, avoid] = plan
        return plan

    def _make_plan(self, catalogue, index, avoid):
        services = catalogue.services_by_index.get(index, [])
        replica_sets_by_snapshot = collections.defaultdict(dict)
        shard_counts = {}
        for service in services:
            self._collect_holdings(
                catalogue, service, replica_sets_by_snapshot, shard_counts
            )
        snapshot = self._choose_snapshot(
            services, replica_sets_by_snapshot, shard_counts, avoid
        )
        shards_by_replica_set, missed = _assign_shards(
            services, snapshot, replica_sets_by_snapshot, shard_counts
        )
        is_settled = all(
            self._is_settled(catalogue, s, snapshot.epoch, shard_counts)
            for s in services
        )
        return Plan(index, snapshot, shards_by_replica_set, missed, is_settled)

    def _is_settled(self, catalogue, service, epoch, shard_counts):
        """Return whether a service's number of shards is final for an epoch.

        It is not final while a usable target may still report it.
        """
        if epoch == service.epoch or (service.name, epoch) in shard_counts:
            return True
        return not any(
            self._is_usable(t.name)
            and self._inventories.get(t.name) is not None
            for t in catalogue.targets_by_service.get(service.name, [])
        )

    def _collect_holdings(
        self, catalogue, service, replica_sets_by_snapshot, shard_counts
    ):
        """Add the holdings of a service's targets to two dicts.

        :param replica_sets_by_snapshot: dict of replica set by shard key, by
            snapshot; gets the holdings of usable targets only.
        :param shard_counts: number of shards by service name and epoch.
        """
        for target in catalogue.targets_by_service.get(service.name, []):
            target_inventory = self._inventories.get(target.name)
            if target_inventory is None:
                continue
            is_usable = (
                self._is_usable(target.name) and not target_inventory.draining
            )
            for holding in target_inventory.holdings:
                shard_counts[service.name, holding.snapshot.epoch] = (
                    holding.total
                )
                if not is_usable:
                    continue
                shards = replica_sets_by_snapshot[holding.snapshot]
                for number in holding.shards:
                    key = shard_key(service.name, number)
                    shards.setdefault(key, target.replica_set)

    def _choose_snapshot(
        self, services, replica_sets_by_snapshot, shard_counts, avoid
    ):
        """Return the snapshot with the highest coverage, newest on ties."""

        def score(snapshot):
            asked = sum(
                _count_shards(s, snapshot.epoch, shard_counts)
                for s in services
            )
            return len(replica_sets_by_snapshot[snapshot]) / max(
                asked, 1
            ), snapshot

        candidates = [s for s in replica_sets_by_snapshot if s not in avoid]
        if not candidates:
            epoch = max((s.epoch for s in services), default=0)
            return inventory.Snapshot(version=0, epoch=epoch)
        return max(candidates, key=score)


def _assign_shards(services, snapshot, replica_sets_by_snapshot, shard_counts):
    """Return shard keys by replica set, and the cause of each missed shard."""
    shards_by_replica_set = collections.defaultdict(list)
    missed = {}
    for service in services:
        for number in range(
            _count_shards(service, snapshot.epoch, shard_counts)
        ):
            key = shard_key(service.name, number)
            replica_set = replica_sets_by_snapshot.get(snapshot, {}).get(key)
            if replica_set is None:
                missed[key] = 'no_replica'
            else:
                shards_by_replica_set[replica_set].append(key)
    frozen = {
        name: tuple(keys) for name, keys in shards_by_replica_set.items()
    }
    return frozen, missed


def _count_shards(service, epoch, shard_counts):
    return shard_counts.get((service.name, epoch), service.shards)
