"""Unknown instances that were heard of, and requests for known ones."""

# An unknown id is asked for no longer than this.
INTRODUCTION_S = 5.0
# Unknown ids that are asked for, and Peers that one heartbeat returns.
MAX_PEER_LOOKUPS = 24


class Introductions:
    """Holds ids to ask for, and ids that others asked for."""

    def __init__(self):
        self._unknown_ids = {}
        self._requested_ids = {}

    def add_unknown(self, id_, address, now):
        """Ask an address for the Peer of an id.

        :param address: host and port of an instance that knows it.
        """
        if (
            id_ in self._unknown_ids
            or len(self._unknown_ids) < MAX_PEER_LOOKUPS
        ):
            self._unknown_ids[id_] = (address, now)

    def add_requested(self, ids, address):
        """Note that an address asked for the Peers of ids."""
        self._requested_ids[address] = ids

    def record_known(self, id_):
        """Note that the Peer of an id is known."""
        self._unknown_ids.pop(id_, None)

    def expire(self, now):
        """Drop ids that were asked for in vain."""
        self._unknown_ids = {
            id_: lookup
            for id_, lookup in self._unknown_ids.items()
            if now - lookup[1] < INTRODUCTION_S
        }

    def unknown_ids(self, address):
        """Return the unknown ids to ask an address for."""
        return tuple(
            id_
            for id_, (source, _) in self._unknown_ids.items()
            if source == address
        )

    def take_requested_ids(self, address):
        """Return the ids that an address asked for, once."""
        return self._requested_ids.pop(address, ())

    def pending_addresses(self):
        """Return the addresses to ask for unknown ids or to answer."""
        return {
            *self._requested_ids,
            *(source for source, _ in self._unknown_ids.values()),
        }
