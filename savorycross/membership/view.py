"""The agreed set of instances, kept in the platform's store."""

import dataclasses

import msgspec

from savorycross import decoding
from savorycross.membership import member

VIEW_KEY = 'savorycross/view'


@dataclasses.dataclass(frozen=True)
class View:
    """A numbered set of instances.

    Each view replaces the one before it by compare-and-swap in the store, so
    each epoch has just one set of members.

    :param epoch: number that rises by one with each change; 0 if there is
        no view yet.
    :param members: Members in order of their names.
    """

    epoch: int = 0
    members: tuple[member.Member, ...] = ()

    def find(self, name):
        """Return the Member with a name, or None."""
        return next((m for m in self.members if m.name == name), None)

    def contains(self, candidate):
        """Return whether a member is in the view with the same incarnation."""
        return candidate in self.members

    def with_member(self, added):
        """Return the next view, with a member added.

        :param added: Member; it replaces a member of the same name.
        """
        others = tuple(m for m in self.members if m.name != added.name)
        members = tuple(sorted((*others, added), key=lambda m: m.name))
        return View(self.epoch + 1, members)

    def without(self, expelled):
        """Return the next view, without some members.

        :param expelled: Members; a member with another incarnation stays.
        """
        members = tuple(m for m in self.members if m not in expelled)
        return View(self.epoch + 1, members)


EMPTY_VIEW = View()
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(View)


def encode(view):
    """Return a view as UTF-8 JSON bytes."""
    return _encoder.encode(view)


def decode(data):
    """Return the View encoded in bytes; no bytes are the empty view.

    :raises ValueError: if the bytes are no view.
    """
    return decoding.decode(_decoder, data) if data else EMPTY_VIEW
