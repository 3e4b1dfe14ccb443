"""What an instance knows of another one."""

import dataclasses

from savorycross.discovery import item as items
from savorycross.fleet import heartbeat as heartbeats
from savorycross.overload import caller_subset


@dataclasses.dataclass(slots=True)
class PeerState:
    """Holds the newest status of a peer.

    Times are those of the runtime clock, in seconds.

    :param peer: Peer.
    :param registered_at: when the peer was registered.
    :param id: ``Peer.id`` of the peer.
    :param heard_at: when any instance received a heartbeat from the peer,
        as far as known, or None.
    :param heard_directly_at: when this instance received one, or None.
    :param flags: READY and LEAVING.
    :param revision: the store's Revision that the peer has seen.
    :param configuration: version of the configuration in force there.
    :param has_store: whether the store answers the peer.
    :param load: percentage of a core that the peer uses.
    :param capacity: processor that it can use, in thousandths of a core; 0
        if it is not known.
    :param alive_at: when it was known to be alive last.
    :param sequence: number of its newest heartbeat; 0 if it has none.
    :param suspected_at: when the first of the probes was sent that it left
        unanswered, or None if it was heard since.
    :param dead_at: when a suspected peer counts as dead, or None.
    """

    peer: object
    registered_at: float
    id: int = dataclasses.field(init=False)
    heard_at: float | None = None
    heard_directly_at: float | None = None
    flags: int = 0
    revision: items.Revision = items.NO_REVISION
    configuration: int = 0
    has_store: bool = False
    load: int = 0
    capacity: int = 0
    alive_at: float = 0.0
    sequence: int = 0
    suspected_at: float | None = None
    dead_at: float | None = None

    def __post_init__(self):
        """Keep the id, as the Peer hashes its name each time."""
        self.id = self.peer.id

    @property
    def last_seen_at(self):
        """Return when the peer was heard or registered last."""
        return max(self.registered_at, self.heard_at or 0.0)

    @property
    def speed(self):
        """Part of a core that the peer can use; 1.0 if it is not known."""
        return self.capacity / 1000 or 1.0

    def make_row(self, now, margin_s=0.0):
        """Return the StatusRow of a peer that was heard.

        :param margin_s: seconds that are added to the time since then.
        """
        store_state = (
            heartbeats.STORE_REACHED
            if self.has_store
            else heartbeats.STORE_LOST
        )
        return heartbeats.StatusRow(
            self.id,
            int((now - self.heard_at + margin_s) * 1000),
            self.flags,
            self.load,
            self.capacity,
            store_state,
            self.sequence,
        )

    def is_older(self, row, heard_at):
        """Return whether the status is older than that of a StatusRow.

        Numbers tell that exactly. Times do not: an instance that has ended
        seems to be heard later with each row that waited to be read.

        :param heard_at: when the peer was heard according to the row.
        """
        if self.heard_at is None:
            return True
        if row.sequence and self.sequence:
            return row.sequence > self.sequence
        return heard_at > self.heard_at

    def apply_row(self, row, heard_at):
        """Update the status from a StatusRow.

        :param heard_at: when the peer was heard according to the row.
        """
        self.heard_at = max(heard_at, self.heard_at or 0.0)
        self.sequence = max(row.sequence, self.sequence)
        # No instance that stops serves again. A row that came late could
        # otherwise undo its farewell.
        self.flags = row.flags | self.flags & heartbeats.LEAVING
        self.load = row.load
        self.capacity = row.capacity
        if row.store_state != heartbeats.STORE_UNKNOWN:
            self.has_store = row.store_state == heartbeats.STORE_REACHED

    def apply_heartbeat(self, heartbeat, now):
        """Update the status from a heartbeat of the peer."""
        self.heard_at = now
        self.heard_directly_at = now
        self.sequence = max(heartbeat.sequence, self.sequence)
        self.flags = heartbeat.flags
        self.revision = items.Revision(heartbeat.era, heartbeat.revision)
        self.configuration = heartbeat.configuration
        self.has_store = heartbeat.has_store
        self.load = heartbeat.load
        self.capacity = heartbeat.capacity


def make_candidate(state):
    """Return the caller_subset.Candidate of a peer, by its PeerState."""
    peer = state.peer
    return caller_subset.Candidate(
        peer.name, peer.data_centre, state.load / 100, state.speed
    )
