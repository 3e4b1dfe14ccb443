"""Lists the addresses that callers are told to use."""


class Directory:
    """Lists the instances that accept callers, this one included.

    ``is_ready`` tells whether this instance accepts callers.

    :param own: this instance's Peer.
    :param peers: PeerRegistry.
    """

    def __init__(self, own, peers):
        self._own = own
        self._peers = peers
        self.is_ready = False

    def addresses(self, now):
        """Return pairs of host and port of the instances in the list."""
        listed = [p.caller_address for p in self._peers.serving_peers(now)]
        if self.is_ready:
            listed.append(self._own.caller_address)
        return listed
