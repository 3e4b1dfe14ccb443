"""The owner and the acting owner of each replica set."""

import collections


class OwnerTracker:
    """Determines the owners of replica sets, and their acting owners.

    The owner is determined by the agreed view, and may send to cold targets.
    The acting owner serves the replica set; it is another instance than the
    owner while the owner is not believed alive.

    :param own: name of this instance.
    :param ownership: an Ownership.
    """

    def __init__(self, own, ownership):
        self._own = own
        self._ownership = ownership
        self._data_centre_of_set = {}
        self._catalogue = None
        self._alive = ()
        self._acting_owners = {}

    @property
    def alive(self):
        """The Members that were alive at the last update."""
        return self._alive

    @property
    def share(self):
        """Number of instances among which a target's slots are divided."""
        return self._ownership.share

    def served_sets(self):
        """Return the names of replica sets that this instance acts for."""
        return frozenset(
            name
            for name, owner in self._acting_owners.items()
            if owner == self._own
        )

    def candidates(self, replica_set):
        """Return the names of possible acting owners, the best first.

        :param replica_set: name of the replica set.
        """
        return [m.name for m in self._rank(replica_set, self._alive)]

    def owners(self, catalogue, members):
        """Return the owners under an agreed view.

        :param catalogue: Catalogue.
        :param members: Members of the view.
        :returns: map of target name to the name of the owner.
        """
        self._index_data_centres(catalogue)
        owners = {}
        for name, targets in catalogue.replica_sets.items():
            ranked = self._rank(name, members)
            if ranked:
                owners |= dict.fromkeys(
                    (t.name for t in targets), ranked[0].name
                )
        return owners

    def update_alive(self, catalogue, alive):
        """Update the acting owners.

        :param catalogue: Catalogue.
        :param alive: tuple of the Members that are alive now.
        :returns: set of the names of members that are not alive any more.
        """
        self._index_data_centres(catalogue)
        departed = {m.name for m in self._alive} - {m.name for m in alive}
        self._alive = alive
        self._acting_owners = {
            name: ranked[0].name
            for name in catalogue.replica_sets
            if (ranked := self._rank(name, alive))
        }
        return departed

    def _index_data_centres(self, catalogue):
        """Index the data centre of each replica set that has just one."""
        if catalogue is self._catalogue:
            return
        self._catalogue = catalogue
        data_centres = collections.defaultdict(set)
        for target in catalogue.targets:
            data_centres[target.replica_set].add(target.data_centre)
        self._data_centre_of_set = {
            name: next(iter(names))
            for name, names in data_centres.items()
            if len(names) == 1
        }

    def _rank(self, replica_set, instances):
        data_centre = self._data_centre_of_set.get(replica_set)
        return self._ownership.rank(replica_set, data_centre, instances)
