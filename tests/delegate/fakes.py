"""Other instances for tests."""

from savorycross.fleet import heartbeat


class FakePeers:
    """A list of serving instances."""

    def __init__(self, *found):
        self.found = list(found)

    def serving(self, now):
        """Return all."""
        return self.found


def make_peer(name, data_centre='donosti'):
    return heartbeat.Peer(
        name, 1, data_centre, (f'10.1.0.{len(name)}', 1), ('10.1.0.1', 2)
    )
