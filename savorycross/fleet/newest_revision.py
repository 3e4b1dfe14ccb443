"""The newest revision of the store that any instance is known to have."""

from savorycross.discovery import item as items
from savorycross.fleet import heartbeat as heartbeats

# A revision is passed on for this long. One that nobody can copy, as its
# holders have ended, must not circulate for ever.
PASSED_ON_S = 5.0


class NewestRevision:
    """Holds the newest revision and an instance that has it."""

    def __init__(self):
        self._revision = items.NO_REVISION
        self._holder = None
        self._is_local = False
        self._learned_at = 0.0

    def learn(self, revision, holder, is_local, now):
        """Note that an instance has a revision.

        :param holder: ``Peer.id`` of the instance.
        :param is_local: whether it is in this data centre; copies from
            others cost money.
        """
        if revision > self._revision:
            self._revision = revision
            self._learned_at = now
        elif revision < self._revision or self._is_local or not is_local:
            return
        self._holder = holder
        self._is_local = is_local

    def find_holder(self, revision, now):
        """Return the Revision and holder that are newer than a revision.

        :returns: None if none is known, or only one from long ago.
        """
        is_recent = now - self._learned_at < PASSED_ON_S
        if self._revision > revision and is_recent:
            return self._revision, self._holder
        return None

    def describe(self, own_revision, now):
        """Return the NewestRevision of a heartbeat, or None.

        :param own_revision: Revision that this instance has.
        """
        found = self.find_holder(own_revision, now)
        if found is None:
            return None
        revision, holder = found
        return heartbeats.NewestRevision(revision.era, revision.number, holder)
