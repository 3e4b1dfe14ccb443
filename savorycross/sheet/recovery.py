"""Recovery of accepted sheets that a restored store has lost.

A store that is restored from an older copy holds an earlier manifest than the
catalogue in force. Instances write that catalogue again. If an operator has
applied a sheet to the older copy meanwhile, that sheet becomes the version
after the one in force.
"""

import dataclasses

from savorycross import errors
from savorycross.sheet import publish


@dataclasses.dataclass(frozen=True)
class Recovery:
    """What to write in place of a manifest.

    :param takes_stored: whether the sheet in the store becomes the next
        version; otherwise the catalogue in force is written again.
    :param writes: ids of the latest writes, for the manifest.
    """

    takes_stored: bool
    writes: tuple[str, ...]


def plan_recovery(stored, seen, current):
    """Return the Recovery that is due, or None.

    An instance that has read no manifest cannot tell an older copy from a
    sheet that was applied since, and leaves it to the others.

    :param stored: Manifest in the store.
    :param seen: Manifest of the newest version that this instance has read.
    :param current: Catalogue in force.

    >>> from savorycross.catalogue import catalogue
    >>> in_force = catalogue.Catalogue(version=3)
    >>> seen = publish.Manifest(version=3, writes=('a', 'b', 'c'))
    >>> copy = publish.Manifest(version=1, writes=('a',))
    >>> plan_recovery(copy, seen, in_force).takes_stored
    False
    >>> applied_since = publish.Manifest(version=2, writes=('a', 'x'))
    >>> plan_recovery(applied_since, seen, in_force)
    Recovery(takes_stored=True, writes=('a', 'b', 'c', 'x'))
    """
    if not current.version or not seen.version:
        return None
    if stored.version > current.version:
        return None
    if stored.version == current.version and stored.digest == current.digest:
        return None
    newest_write = stored.writes[-1:]
    if set(newest_write) <= set(seen.writes):
        return Recovery(False, seen.writes)
    return Recovery(True, seen.writes + newest_write)


class ManifestRecovery:
    """Writes what a restored store has lost, for one instance.

    :param store: Store.
    :param journal: Journal.
    """

    def __init__(self, store, journal):
        self._store = store
        self._journal = journal
        self._seen = publish.Manifest()

    async def check(self, stored, revision, current, held_since, asked_at):
        """Compare the manifest in the store with the catalogue in force.

        One that came in force after the store was asked may be in the store
        by now.

        :param stored: Manifest in the store.
        :param revision: revision of the manifest's key.
        :param current: Catalogue in force.
        :param held_since: when it came in force; runtime clock, seconds.
        :param asked_at: when the store was asked; runtime clock, seconds.
        :raises StoreUnavailableError: if the store does not answer.
        """
        if held_since >= asked_at:
            return
        recovery = plan_recovery(stored, self._seen, current)
        if recovery is None:
            if stored.version >= current.version:
                self._seen = stored
            return
        recovered = current
        if recovery.takes_stored:
            recovered = dataclasses.replace(
                await publish.read_catalogue(self._store, stored),
                version=current.version + 1,
            )
        self._journal.record(
            'config.recovered',
            str(recovered.version),
            stored_version=str(stored.version),
        )
        try:
            await publish.write_version(
                self._store, recovered, recovery.writes, revision
            )
        except (errors.StoreConflictError, errors.SheetRaceError):
            # Another instance, or an operator, has written first.
            return
