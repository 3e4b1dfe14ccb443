"""Confirmations that the new version is not known to be bad.

Load pattern: an instance, or a group of them, is cut off while the others
find the version bad, or it is frozen and then reads answers that have waited
in its socket. A majority of the instances that decide must have confirmed, so
that of two groups at most one goes on, and a confirmation counts from the send
of the report that it answers.

Source of the method: majority quorums (Thomas, "A Majority Consensus Approach
to Concurrency Control", ACM TODS 4(2), 1979); leases that count from the send
of the request (Gray and Cheriton, "Leases", 1989).
"""

import math


class Confirmations:
    """When each of the instances that decide has confirmed last.

    ``deciders`` holds the names of these instances.
    """

    def __init__(self):
        self.deciders = ()
        self._sent_at = {}
        self._facts = None
        self._told_at = 0.0
        self._acknowledged = set()
        self._acknowledged_at = None

    def set_deciders(self, names):
        """Set the names of the instances that decide."""
        if names != self.deciders:
            self.deciders = names
            self._sent_at = {
                n: at for n, at in self._sent_at.items() if n in names
            }
            self._acknowledged.intersection_update(names)
            if not self._is_majority(len(self._acknowledged)):
                self._acknowledged_at = None

    def tell(self, facts, now):
        """Note what the next reports tell; see ``have_settled``."""
        if facts != self._facts:
            self._facts = facts
            self._told_at = now
            self._acknowledged = set()
            self._acknowledged_at = None

    def add(self, name, sent_at, now):
        """Note a confirmation.

        :param name: name of the instance that confirms.
        :param sent_at: runtime clock time at which it was asked.
        """
        if name not in self.deciders:
            return
        known = self._sent_at.get(name, -math.inf)
        self._sent_at[name] = max(known, sent_at)
        if sent_at < self._told_at:
            return
        self._acknowledged.add(name)
        is_majority = self._is_majority(len(self._acknowledged))
        if is_majority and self._acknowledged_at is None:
            self._acknowledged_at = now

    def are_fresh(self, now, lifetime_s):
        """Return whether a majority has confirmed within a time.

        :param lifetime_s: lifetime of a confirmation in seconds.
        """
        fresh = sum(now - at < lifetime_s for at in self._sent_at.values())
        return self._is_majority(fresh)

    def have_settled(self, facts, now, lifetime_s):
        """Return whether no confirmation without the facts is in force.

        A majority has known them for the lifetime of a confirmation, and any
        other majority shares an instance with it.

        :param facts: what this instance has to tell now.
        """
        return (
            facts == self._facts
            and self._acknowledged_at is not None
            and now - self._acknowledged_at >= lifetime_s
        )

    def _is_majority(self, count):
        return count > len(self.deciders) // 2
