"""Fakes of other instances."""

from savorycross.fleet import heartbeat


class FakePeerRegistry:
    """A registry in which all peers serve."""

    def __init__(self, *peers):
        self.peers = list(peers)

    def serving_peers(self, now):
        """Return all peers."""
        return self.peers


def make_peer(name, data_centre='donosti'):
    """Return a Peer; its address depends on the length of its name."""
    return heartbeat.Peer(
        name, 1, data_centre, (f'10.1.0.{len(name)}', 1), ('10.1.0.1', 2)
    )
