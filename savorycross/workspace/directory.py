"""Finds the workspace that holds a key.

The directory keeps digests of the keys, made with a secret of the process, so
that neither memory nor the time of a look-up tells a key.
"""

import hashlib
import secrets

DIGEST_BYTES = 16
_secret = secrets.token_bytes(16)


class WorkspaceDirectory:
    """The workspaces of one configuration, by their keys.

    ``conflicts`` holds the names of a workspace that lacks one of its keys
    and of the one that holds this key, for each such pair.

    :param workspaces: pairs of a Workspace and its keys as texts. Of several
        workspaces with the same key, the first one holds it.

    >>> from savorycross.workspace.workspace import Workspace
    >>> directory = WorkspaceDirectory([(Workspace('a'), ['secret'])])
    >>> directory.find(b'secret').name
    'a'
    >>> directory.find(b'other') is None
    True
    """

    def __init__(self, workspaces=()):
        self.workspaces = tuple(w for w, _ in workspaces)
        self._by_digest = {}
        conflicts = {}
        for workspace, keys in workspaces:
            for key in keys:
                holder = self._by_digest.setdefault(
                    _digest(key.encode()), workspace
                )
                if holder is not workspace:
                    conflicts[workspace.name, holder.name] = None
        self.conflicts = tuple(conflicts)

    @property
    def is_empty(self):
        """Whether no workspaces are declared, so that no key is needed."""
        return not self.workspaces

    def digests(self, name):
        """Return the digests of the keys that a workspace holds, as a set.

        They can be compared with those of other directories of the process.

        :param name: name of the workspace.
        """
        return frozenset(
            digest
            for digest, workspace in self._by_digest.items()
            if workspace.name == name
        )

    def count_keys(self, workspace):
        """Return the number of keys that a Workspace holds."""
        return sum(w is workspace for w in self._by_digest.values())

    def find(self, key):
        """Return the Workspace that holds a key, or None.

        :param key: bytes.
        """
        return self._by_digest.get(_digest(key))


def _digest(key):
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_secret).digest()


NO_WORKSPACES = WorkspaceDirectory()
