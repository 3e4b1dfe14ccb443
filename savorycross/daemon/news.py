"""How views and catalogues travel between instances."""

import trio

from savorycross.membership import view as views
from savorycross.peer import messages

PULL_PAUSE_S = 0.3
VIEW = 'view'
CATALOGUE = 'catalogue'


class News:
    """Pulls what heartbeats tell of, and pushes what peers ask for.

    :param group: Group, which has the view.
    :param keeper: CatalogueKeeper.
    :param send: callable of a name and a message; False if not sent.
    :param on_catalogue: called with the source after a newer catalogue.
    :param metrics: Registry.
    """

    def __init__(self, group, keeper, send, on_catalogue, metrics):
        self._group = group
        self._keeper = keeper
        self._send = send
        self._on_catalogue = on_catalogue
        self._metrics = metrics
        self._pulled = {}

    def heard(self, datagram):
        """Ask the sender of a heartbeat for what it has newer."""
        epoch = self._group.view.epoch
        if datagram.view_epoch > epoch:
            self._pull(VIEW, datagram.sender, epoch)
        version = self._keeper.current.version
        if datagram.config_version > version:
            self._pull(CATALOGUE, datagram.sender, version)

    def push(self, what, name):
        """Send a peer the present view or catalogue."""
        if what == VIEW:
            view = self._group.view
            message = messages.Push(VIEW, view.epoch, views.encode(view))
        else:
            version = self._keeper.current.version
            message = messages.Push(
                CATALOGUE, version, self._keeper.encode_compressed()
            )
        self._send(name, message)

    def push_all(self, name):
        """Send a newcomer all that there is."""
        self.push(VIEW, name)
        if self._keeper.current.version:
            self.push(CATALOGUE, name)

    def spread(self):
        """Push the catalogue to peers that are known to have an older."""
        version = self._keeper.current.version
        for peer in self._group.detector.peers():
            if peer.config_version < version:
                self.push(CATALOGUE, peer.member.name)

    def pushed(self, sender, message):
        """Take what a peer has sent, if it is newer."""
        try:
            if message.what == VIEW:
                self._group.adopt(views.decode(message.data))
            else:
                self.take(message.data, f'peer {sender}')
        except ValueError:
            self._metrics.count('peer_protocol_errors')

    def take(self, data, source):
        """Take a packed catalogue, if it is newer.

        :raises ValueError: if the bytes are no catalogue.
        """
        if self._keeper.adopt_compressed_if_newer(data):
            self._on_catalogue(source)

    def _pull(self, what, name, have):
        """Ask a peer, not more often than need be."""
        now = trio.current_time()
        if now < self._pulled.get(what, 0.0) + PULL_PAUSE_S:
            return
        if self._send(name, messages.Pull(what, have)):
            self._pulled[what] = now
