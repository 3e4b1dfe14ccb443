"""Splits limits that hold over all instances among those that send.

Load pattern: hundreds of instances share a limit that is smaller than their
number, such as the sends a second to a cold target. Equal shares round down
to nothing then. So whole units go to as many senders as there are units, by
rendezvous hashing of the limited object. Instances that disagree about d of
the senders exceed a limit by at most d units.
"""

import dataclasses
import math

import xxhash

# Sends in flight to a target over all senders, as a multiple of its slots:
# those at work, those on their way, and some that replace them at once, as
# no sender knows of the others.
MAX_SLOT_MULTIPLE = 4
# Largest part of a limit of connections that is kept for instances that
# callers should not use, but may.
BYSTANDER_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LimitShares:
    """This instance's shares of the limits over all instances.

    :param own: name of this instance.
    :param senders: names of the instances that callers may use.
    :param bystanders: names of the other live instances, which send for
        callers that use an outdated list.
    """

    own: str
    senders: frozenset[str]
    bystanders: frozenset[str] = frozenset()
    _place: int = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self):
        """Find this instance's place among the bystanders, once."""
        place = sum(name < self.own for name in self.bystanders)
        object.__setattr__(self, '_place', place)

    @property
    def is_sender(self):
        """Whether this instance is one of the senders."""
        return self.own in self.senders

    @property
    def fraction(self):
        """This instance's part of a limit that can be divided.

        >>> LimitShares('a', frozenset('abcd')).fraction
        0.25
        """
        return 1.0 / len(self.senders) if self.is_sender else 0.0

    def units(self, total, key):
        """Return this instance's part of a limit of whole units.

        Units that are left over by equal parts go to the senders ranked
        first for the key.

        :param total: units over all instances.
        :param key: name of the limited object.

        >>> parts = [LimitShares(n, frozenset('abc')) for n in 'abc']
        >>> sum(p.units(2, 'x') for p in parts)
        2
        """
        if not self.is_sender:
            return 0
        base, rest = divmod(int(total), len(self.senders))
        if not rest:
            return base
        return base + (self.own in self.rank(key)[:rest])

    def connections(self, total, key):
        """Return how many connections to a target this instance may open.

        :param total: connections that the target accepts.
        :param key: id of the target.
        """
        reserved = min(len(self.bystanders), int(total * BYSTANDER_PART))
        if self.is_sender:
            equal = (total - reserved) // len(self.senders)
            return equal or self.units(total - reserved, key)
        if reserved == len(self.bystanders):
            return 1
        # Each target begins at another bystander. Ranks by hashes would take
        # one for each target and bystander at every change.
        start = xxhash.xxh3_64_intdigest(key)
        return int((self._place - start) % len(self.bystanders) < reserved)

    def in_flight(self, slots):
        """Return how many sends to a target may be in flight at once.

        A target that gets more than it works on queues them, so that each of
        its answers is late. The rest wait here instead, in the order of their
        urgency.

        :param slots: requests that the target works on at once.

        >>> LimitShares('a', frozenset('abcd')).in_flight(2)
        2
        """
        return max(1, math.ceil(slots * MAX_SLOT_MULTIPLE * self.fraction))

    def rank(self, key):
        """Return the names of the senders, those first that get units first.

        :param key: name of the limited object.
        """
        return sorted(
            self.senders, key=lambda name: _hash(key, name), reverse=True
        )


def _hash(key, name):
    return xxhash.xxh3_64_intdigest(f'{key}|{name}'), name
