"""Ownership by all instances, as a baseline for comparison."""


class DirectOwnership:
    """Makes each instance the owner of every replica set for itself.

    :param own: name of this instance.
    :param share: number of instances among which slots are divided.
    """

    def __init__(self, own, share):
        self._own = own
        self.share = share

    def rank(self, replica_set, data_centre, instances):
        """Return this instance as the only possible owner."""
        return [i for i in instances if i.name == self._own]
