"""The protocol of classes that rank the owners of a replica set."""

import typing


class Ownership(typing.Protocol):
    """Ranks instances as owners of a replica set.

    ``share`` is the number of instances among which a target's slots are
    divided; 1 if only one instance sends to a target.
    """

    share: int

    def rank(self, replica_set, data_centre, instances):
        """Return the possible owners, the owner first.

        :param replica_set: name of the replica set.
        :param data_centre: data centre whose instances come first, or None.
        :param instances: tuple of Members.
        :returns: list of Members.
        """
