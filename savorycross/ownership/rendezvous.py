"""Rendezvous hashing of replica sets over instances.

Source of the algorithm: Thaler and Ravishankar, "Using Name-Based
Mappings to Increase Hit Rates", 1998.
"""

import bisect

import xxhash

# First ranks that are cached for each replica set, and how many of them must
# be left for the cache to be updated instead of computed again.
MAX_KEPT = 8
MIN_KEPT = 4


def sort_key(replica_set, instance, data_centre=None):
    """Return the key by which instances are sorted; the owner's is smallest.

    :param replica_set: name of the replica set.
    :param instance: Member.
    :param data_centre: data centre whose instances come first, or None.
    """
    digest = xxhash.xxh3_64_intdigest(f'{replica_set}|{instance.name}')
    return (instance.data_centre != data_centre, -digest, instance.name)


def rank(replica_set, instances, data_centre=None):
    """Return a list of instances, the owner first.

    :param replica_set: name of the replica set.
    :param instances: Members, or objects with ``name`` and ``data_centre``.
    :param data_centre: data centre whose instances come first, or None.

    >>> import types
    >>> make = types.SimpleNamespace
    >>> members = [make(name=n, data_centre=d) for n, d in ('ax', 'by', 'cx')]
    >>> [i.name for i in rank('svc/0', members, 'y')][0]
    'b'
    """
    return sorted(
        instances, key=lambda i: sort_key(replica_set, i, data_centre)
    )


class RendezvousOwnership:
    """Makes the instance ranked first the only owner of a replica set.

    The first ranks of each replica set are cached, and updated when
    instances come or go: that costs one hash for each replica set and
    newcomer, not one for each replica set and instance.
    """

    share = 1

    def __init__(self):
        self._instances = ()
        self._ranks = {}

    def rank(self, replica_set, data_centre, instances):
        """Return up to ``MAX_KEPT`` possible owners, the owner first."""
        if instances != self._instances:
            self._update_ranks(instances)
        cache_key = (replica_set, data_centre)
        ranked = self._ranks.get(cache_key)
        if ranked is None:
            ranked = rank(replica_set, instances, data_centre)[:MAX_KEPT]
            self._ranks[cache_key] = ranked
        return ranked

    def _update_ranks(self, instances):
        """Remove departed instances from the cached ranks and add newcomers.

        Ranks of which too few instances are left are dropped from the cache.
        """
        before = set(self._instances)
        departed = before.difference(instances)
        newcomers = set(instances).difference(before)
        self._instances = instances
        for cache_key, ranked in list(self._ranks.items()):
            remaining = [i for i in ranked if i not in departed]
            if len(instances) <= MAX_KEPT or len(remaining) < MIN_KEPT:
                del self._ranks[cache_key]
                continue
            self._ranks[cache_key] = _insert_newcomers(
                cache_key, remaining, newcomers
            )


def _insert_newcomers(cache_key, ranked, newcomers):
    """Return ranks with newcomers inserted in order.

    A newcomer after the last cached rank is left out, because instances that
    are not cached may come before it.
    """
    replica_set, data_centre = cache_key
    keys = [sort_key(replica_set, i, data_centre) for i in ranked]
    for newcomer in newcomers:
        key = sort_key(replica_set, newcomer, data_centre)
        index = bisect.bisect(keys, key)
        if index < len(keys):
            keys.insert(index, key)
            ranked.insert(index, newcomer)
    return ranked[:MAX_KEPT]
