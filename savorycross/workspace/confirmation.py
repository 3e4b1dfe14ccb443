"""Confirmations of the configuration that instances pass on to each other.

Load pattern: each instance that takes callers reads the store several times
in a few seconds to judge keys, and is of no use for requests with keys once
the store turns it away, though others still read it. So one instance reads,
and the others ask it for the age of its confirmation.

Only durations are compared between clocks (Cristian, "Probabilistic Clock
Synchronization", 1989): the answer was sent after the request, so a
confirmation that was ``age`` old in the answer isn't older than the send of
the request less ``age``.
"""

import dataclasses
import typing

import msgspec

from savorycross.discovery import item as items
from savorycross.ownership import rendezvous
from savorycross.wire import versioned

# Version of the message format; it differs from those of ``rate.protocol`` and
# ``quota.protocol``, whose messages use the same socket.
FORMAT = 102
# Instances that are asked, the second one if the first does not help.
MAX_ASKED = 2
MAX_NUMBER = 2**63 - 1
_GROUP = 'confirmations'

_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Which configuration an instance has.

    :param revision: Revision of the configuration's last change that it
        knows.
    :param version: version of the configuration in force, or 0.
    """

    revision: items.Revision
    version: int

    def covers(self, other):
        """Return whether nothing of another Statement is missing here.

        Revisions of different eras belong to different histories.

        >>> older = Statement(items.Revision(1, 7), 4)
        >>> newer = Statement(items.Revision(1, 9), 6)
        >>> newer.covers(older), older.covers(newer)
        (True, False)
        >>> Statement(items.Revision(2, 9), 6).covers(older)
        False
        """
        return (
            self.revision.era == other.revision.era
            and self.revision >= other.revision
            and self.version >= other.version
        )


class ConfirmationMessage(msgspec.Struct, frozen=True, array_like=True):
    """The content of one datagram.

    :param format: FORMAT.
    :param sender: name of the instance that sends it.
    :param number: number of the request, which the answer repeats.
    :param is_request: whether it asks for a confirmation.
    :param age_ms: milliseconds since the sender's last confirmation was sent
        to the store, rounded up, or None if it has none.
    :param era: era of the Statement's revision.
    :param revision: number of the Statement's revision.
    :param version: version of the Statement.
    """

    format: int
    sender: str
    number: _Number
    is_request: bool
    age_ms: _Number | None = None
    era: _Number = 0
    revision: _Number = 0
    version: _Number = 0

    @property
    def statement(self):
        """The Statement of an answer."""
        return Statement(items.Revision(self.era, self.revision), self.version)


_decoder = msgspec.msgpack.Decoder(ConfirmationMessage)


def decode(data):
    """Return the ConfirmationMessage that bytes encode.

    :raises ValueError: if the bytes encode none, or one of another format.
    """
    return versioned.decode(_decoder, data, FORMAT)


def rank(names):
    """Return names of instances in the order in which they are asked.

    >>> rank(['a', 'b', 'c']) == rank(['c', 'a', 'b'])
    True
    """
    members = [_Member(name) for name in names]
    return [m.name for m in rendezvous.rank(_GROUP, members)]


class _Member(typing.NamedTuple):
    name: str
    data_centre: str = ''
