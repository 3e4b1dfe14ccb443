"""The plan of a query: one snapshot, all its shards, and who holds them."""

import collections
import dataclasses

from savorycross.plan import inventory


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a query asks.

    :param snapshot: the snapshot that every shard must answer from.
    :param parts: shard keys by replica set.
    :param missed: cause by shard key for shards that nobody can answer.
    :param is_settled: False while a usable target has told the number of its
        service's shards under other shard maps only; the plan then counts
        the declared number.
    """

    index: str
    snapshot: inventory.Snapshot
    parts: dict[str, tuple[str, ...]]
    missed: dict[str, str]
    is_settled: bool = True

    @property
    def asked(self):
        """Number of shards that belong to the query."""
        return sum(map(len, self.parts.values())) + len(self.missed)


def shard_key(service, number):
    """Return the key of a shard.

    >>> shard_key('fit-records', 3)
    'fit-records/3'
    """
    return f'{service}/{number}'


class Planner:
    """Chooses the snapshot and the replica sets of queries.

    :param table: an InventoryTable.
    :param usable: callable that tells whether a target, by name, may get
        new work.
    """

    def __init__(self, table, usable):
        self._table = table
        self._usable = usable
        self._cache = {}
        self._cache_key = None

    def plan(self, catalogue, index, states_generation, avoid=frozenset()):
        """Return the plan of a query over an index.

        :param states_generation: rises when ``usable`` changes its mind.
        :param avoid: snapshots that have vanished underneath the query.
        """
        key = (catalogue.version, self._table.generation, states_generation)
        if key != self._cache_key:
            self._cache.clear()
            self._cache_key = key
        found = self._cache.get((index, avoid))
        if found is None:
            found = self._make(catalogue, index, avoid)
            self._cache[index, avoid] = found
        return found

    def _make(self, catalogue, index, avoid):
        services = catalogue.services_by_index.get(index, [])
        holders = collections.defaultdict(dict)
        totals = {}
        for service in services:
            self._collect(catalogue, service, holders, totals)
        snapshot = self._choose(services, holders, totals, avoid)
        parts, missed = _assemble(services, snapshot, holders, totals)
        is_settled = all(
            self._is_settled(catalogue, s, snapshot.epoch, totals)
            for s in services
        )
        return Plan(index, snapshot, parts, missed, is_settled)

    def _is_settled(self, catalogue, service, epoch, totals):
        """Tell whether a service's number of shards will not change soon."""
        if epoch == service.epoch or (service.name, epoch) in totals:
            return True
        return not any(
            self._usable(t.name) and self._table.get(t.name) is not None
            for t in catalogue.targets_by_service.get(service.name, [])
        )

    def _collect(self, catalogue, service, holders, totals):
        for target in catalogue.targets_by_service.get(service.name, []):
            known = self._table.get(target.name)
            if known is None:
                continue
            usable = self._usable(target.name) and not known.draining
            for holding in known.holdings:
                totals[service.name, holding.snapshot.epoch] = holding.total
                if not usable:
                    continue
                shards = holders[holding.snapshot]
                for number in holding.shards:
                    key = shard_key(service.name, number)
                    shards.setdefault(key, target.replica_set)

    def _choose(self, services, holders, totals, avoid):
        """Return the snapshot that most shards can answer, newest on ties."""

        def score(snapshot):
            asked = sum(_total(s, snapshot.epoch, totals) for s in services)
            return len(holders[snapshot]) / max(asked, 1), snapshot

        candidates = [s for s in holders if s not in avoid]
        if not candidates:
            epoch = max((s.epoch for s in services), default=0)
            return inventory.Snapshot(version=0, epoch=epoch)
        return max(candidates, key=score)


def _assemble(services, snapshot, holders, totals):
    """Return shard keys by replica set, and causes by missed shard key."""
    parts = collections.defaultdict(list)
    missed = {}
    for service in services:
        for number in range(_total(service, snapshot.epoch, totals)):
            key = shard_key(service.name, number)
            replica_set = holders.get(snapshot, {}).get(key)
            if replica_set is None:
                missed[key] = 'no_replica'
            else:
                parts[replica_set].append(key)
    frozen = {name: tuple(keys) for name, keys in parts.items()}
    return frozen, missed


def _total(service, epoch, totals):
    return totals.get((service.name, epoch), service.shards)
