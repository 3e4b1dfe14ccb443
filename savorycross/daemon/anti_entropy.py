"""Anti-entropy: exchange of views and catalogues between instances."""

import trio

from savorycross.membership import view as views
from savorycross.peer import messages

PULL_INTERVAL_S = 0.3
VIEW = 'view'
CATALOGUE = 'catalogue'


class AntiEntropy:
    """Pulls newer views and catalogues from peers, and pushes its own.

    Heartbeats carry the numbers of the sender's view and catalogue; a newer
    number causes a pull.

    :param group: Group, which holds the view.
    :param keeper: CatalogueKeeper.
    :param send: callable of an instance's name and a message; returns False
        if the message cannot be sent.
    :param on_catalogue: called with the source, as text, after a newer
        catalogue has been adopted.
    :param metrics: Registry.
    """

    def __init__(self, group, keeper, send, on_catalogue, metrics):
        self._group = group
        self._keeper = keeper
        self._send = send
        self._on_catalogue = on_catalogue
        self._metrics = metrics
        self._last_pull_times = {}

    def handle_heartbeat(self, datagram):
        """Pull the view or catalogue of a heartbeat's sender if it is newer.

        :param datagram: Datagram of the heartbeat.
        """
        epoch = self._group.view.epoch
        if datagram.view_epoch > epoch:
            self._pull(VIEW, datagram.sender, epoch)
        version = self._keeper.current.version
        if datagram.config_version > version:
            self._pull(CATALOGUE, datagram.sender, version)

    def push(self, what, name):
        """Send the current view or catalogue to a peer.

        :param what: ``VIEW`` or ``CATALOGUE``.
        :param name: name of the peer.
        """
        if what == VIEW:
            view = self._group.view
            message = messages.Push(VIEW, view.epoch, views.encode(view))
        else:
            version = self._keeper.current.version
            message = messages.Push(
                CATALOGUE, version, self._keeper.encode_compressed()
            )
        self._send(name, message)

    def push_both(self, name):
        """Send the current view and catalogue to a joining instance."""
        self.push(VIEW, name)
        if self._keeper.current.version:
            self.push(CATALOGUE, name)

    def push_to_stale_peers(self):
        """Push the catalogue to the peers that have an older one."""
        version = self._keeper.current.version
        for peer in self._group.detector.peers():
            if peer.config_version < version:
                self.push(CATALOGUE, peer.member.name)

    def handle_push(self, sender, message):
        """Adopt the view or catalogue in a Push message, if it is newer.

        :param sender: name of the peer.
        :param message: Push.
        """
        try:
            if message.what == VIEW:
                self._group.adopt(views.decode(message.data))
            else:
                self.adopt_catalogue(message.data, f'peer {sender}')
        except ValueError:
            self._metrics.count('peer_protocol_errors')

    def adopt_catalogue(self, data, source):
        """Adopt a compressed catalogue, if it is newer.

        :param data: compressed catalogue, as bytes.
        :param source: where the catalogue came from, as text.
        :raises ValueError: if the bytes do not hold a catalogue.
        """
        if self._keeper.adopt_compressed_if_newer(data):
            self._on_catalogue(source)

    def _pull(self, what, name, current_number):
        """Ask a peer for its view or catalogue, at a limited rate.

        :param current_number: number of the own view or catalogue.
        """
        now = trio.current_time()
        if now < self._last_pull_times.get(what, 0.0) + PULL_INTERVAL_S:
            return
        if self._send(name, messages.Pull(what, current_number)):
            self._last_pull_times[what] = now
