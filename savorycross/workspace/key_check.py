"""Judges the key of a request."""

import enum

from savorycross.workspace import freshness as freshnesses


class Outcome(enum.Enum):
    """What a request's key is; the values are labels of a metric.

    UNCONFIRMED means that the key may have been withdrawn, or added, since
    the configuration in force was read.
    """

    ACCEPTED = 'accepted'
    MISSING = 'missing'
    UNKNOWN = 'unknown'
    UNCONFIRMED = 'unconfirmed'


class KeyCheck:
    """Judges keys while the configuration in force is confirmed.

    :param freshness: Freshness.
    :param read_clock: callable that returns the time for it.
    :param on_unconfirmed: called when a key could not be judged.
    """

    def __init__(
        self,
        freshness=None,
        read_clock=lambda: 0.0,
        on_unconfirmed=lambda: None,
    ):
        self._freshness = freshness or freshnesses.Freshness()
        self._read_clock = read_clock
        self._on_unconfirmed = on_unconfirmed

    def judge(self, key, directory):
        """Return the Outcome of a key, and its Workspace or None.

        :param key: bytes, or None without a key.
        :param directory: WorkspaceDirectory of the configuration in force.
        """
        if key is None:
            return Outcome.MISSING, None
        if not self._is_confirmed():
            self._on_unconfirmed()
            return Outcome.UNCONFIRMED, None
        workspace = directory.find(key)
        if workspace is None:
            return Outcome.UNKNOWN, None
        return Outcome.ACCEPTED, workspace

    def choose_return_s(self):
        """Return the seconds after which keys may be confirmed again."""
        return self._freshness.choose_return_s(self._read_clock())

    def _is_confirmed(self):
        if self._freshness.bound_s is None:
            return True
        # The time of the request's arrival is of no use: bytes that were
        # sent later may wait in the socket of a process that was stopped.
        now = self._read_clock()
        self._freshness.want(now)
        return self._freshness.is_fresh(now)
