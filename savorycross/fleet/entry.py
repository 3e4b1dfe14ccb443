"""Tells callers which addresses to use."""


class Directory:
    """The addresses that callers are to use.

    :param own: this instance's Peer.
    :param peers: Peers.
    """

    def __init__(self, own, peers):
        self._own = own
        self._peers = peers
        self.is_ready = False

    def addresses(self, data_centre, now):
        """Return host and port pairs of instances that take callers.

        Instances in the caller's data centre are named alone if there are
        any, as each of them knows targets nearby.

        :param data_centre: the caller's data centre.
        """
        found = self._peers.serving(now)
        if self.is_ready:
            found.append(self._own)
        near = [p for p in found if p.data_centre == data_centre]
        return [p.caller_address for p in found]
