"""Tells callers which addresses to use."""


class Directory:
    """The addresses that callers are to use.

    :param own: this instance's Peer.
    :param peers: PeerRegistry.
    """

    def __init__(self, own, peers):
        self._own = own
        self._peers = peers
        self.is_ready = False

    def addresses(self, now):
        """Return host and port pairs of instances that take callers."""
        found = [p.caller_address for p in self._peers.serving(now)]
        if self.is_ready:
            found.append(self._own.caller_address)
        return found
