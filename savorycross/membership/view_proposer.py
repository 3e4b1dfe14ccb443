"""Proposals of the next view."""

import dataclasses

from savorycross.membership import view as views

TAKEOVER_AFTER_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A view to write in place of the one that was read.

    :param reason: reason for the journal.
    """

    view: views.View
    reason: str


class ViewProposer:
    """Proposes the views that this instance writes to the store.

    :param own: this instance's Member.
    """

    def __init__(self, own):
        self._own = own
        self._unreached_since = None

    def propose(self, view, held, joining, dead, leaving, now):
        """Return the Proposal that is due, or None.

        :param view: the View read from the store.
        :param held: the View that this instance had adopted before it asked.
            If the store holds an earlier one, it was restored from an older
            copy, and a member writes the one that it lost as the next view.
        :param joining: Members that asked this instance to add them.
        :param dead: Members that this instance believes dead.
        :param leaving: True once this instance has drained and leaves.
        :param now: runtime clock, seconds.
        """
        is_lost = view.epoch <= held.epoch and view != held
        if is_lost and held.contains(self._own):
            next_view = dataclasses.replace(held, epoch=held.epoch + 1)
            return Proposal(next_view, 'restored')
        if not view.epoch:
            return Proposal(view.with_member(self._own), 'first')
        if not view.contains(self._own):
            return self._propose_self(view, leaving, now)
        self._unreached_since = None
        if leaving:
            return Proposal(view.without([self._own]), 'leave')
        expelled = [m for m in dead if view.contains(m)]
        if expelled:
            return Proposal(view.without(expelled), 'expel')
        newcomers = [m for m in joining if not view.contains(m)]
        if newcomers:
            return self._propose_join(view, newcomers)
        return None

    def _propose_join(self, view, newcomers):
        for newcomer in newcomers:
            view = dataclasses.replace(
                view.with_member(newcomer), epoch=view.epoch
            )
        return Proposal(
            dataclasses.replace(view, epoch=view.epoch + 1), 'join'
        )

    def _propose_self(self, view, leaving, now):
        """Return a Proposal to add this instance if no member can do so.

        That is so in a view without members, for a process that replaces a
        member's former process, and once no member has been heard from for
        ``TAKEOVER_AFTER_S``; in the last case the proposed view has no other
        member.
        """
        if leaving:
            return None
        if self._replaces_former_process(view):
            return Proposal(view.with_member(self._own), 'restart')
        if not view.members:
            return Proposal(view.with_member(self._own), 'first')
        if self._unreached_since is None:
            self._unreached_since = now
        if now - self._unreached_since < TAKEOVER_AFTER_S:
            return None
        next_view = views.View(view.epoch, ()).with_member(self._own)
        return Proposal(next_view, 'usurp')

    def _replaces_former_process(self, view):
        """Return whether this process replaces an earlier one of its name.

        The earlier one cannot run any more, because this process has bound
        its addresses.
        """
        former = view.find(self._own.name)
        if former is None or former.incarnation >= self._own.incarnation:
            return False
        address = (former.host, former.http_port, former.peer_port)
        own = (self._own.host, self._own.http_port, self._own.peer_port)
        return address == own

    def record_member_contact(self):
        """Record that a member is alive, which can add this instance."""
        self._unreached_since = None
