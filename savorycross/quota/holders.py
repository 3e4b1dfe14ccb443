"""Decides which instances hold parts of quotas while some are silent.

Load pattern: a link between data centres fails, and callers use instances on
both sides of it. A silent instance may have ended or may be cut off. If both
sides shared the quota anew, they would admit twice the quota together. So a
silent instance keeps its part until the store has removed its entry, which it
cannot renew then. An instance that is itself in doubt whether its entry still
exists, and does not hear most of the holders, uses a small part only.

Source of the method: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
Mechanism for Distributed File Cache Consistency", SOSP, 1989.
"""

from savorycross.overload import shares as limit_shares
from savorycross.quota import division


class Holders:
    """The holders of parts, as this instance sees them.

    :param own_name: name of this instance.
    :param lease_s: seconds after which the store removes the entry of an
        instance that has not renewed it.
    :param margin_s: seconds by which this instance counts its entry as
        removed before it can be.
    :param now: runtime clock time in seconds.
    """

    def __init__(self, own_name, lease_s, margin_s, now):
        self._own_name = own_name
        self._valid_s = lease_s - margin_s
        self._renewed_at = now
        self._names = frozenset()
        self._announced = {}
        # Names of instances that were not heard since they were announced.
        self._unheard = set()

    def record_entry(self, key, name):
        """Record that the store has an entry of an instance.

        :param key: key of the entry.
        :param name: name of the instance.
        """
        if self._announced.get(key) != name:
            self._unheard.add(name)
        self._announced[key] = name

    def record_removal(self, key):
        """Record that the store has removed an entry."""
        self._unheard.discard(self._announced.pop(key, None))

    def record_renewal(self, now):
        """Record that the store has renewed the entry of this instance."""
        self._renewed_at = now

    def choose(self, shares, list_serving, now, list_live=lambda: ()):
        """Return the HolderView to put in force.

        An instance that was announced and not heard since may have started
        on the other side of a partition, where it takes callers.

        :param shares: LimitShares among the instances that are heard.
        :param list_serving: callable that returns the names of all other
            instances that are heard and ready, those that take no callers
            included.
        :param list_live: callable that returns the names of all other
            instances that are heard.
        """
        seen = shares.senders
        if self._unheard:
            self._unheard.difference_update(seen, list_live())
        unseen = self._names.union(self._unheard) - seen - {self._own_name}
        if unseen:
            unseen &= set(self._announced.values())
            unseen -= set(list_serving())
        self._names = seen | unseen
        is_in_doubt = now - self._renewed_at > self._valid_s and 2 * len(
            seen
        ) <= len(self._names)
        return division.HolderView(
            limit_shares.LimitShares(self._own_name, self._names),
            not is_in_doubt,
        )
