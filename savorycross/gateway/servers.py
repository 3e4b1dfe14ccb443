"""The servers of an instance, by what connects to them."""

from savorycross.delegate import batch_handler
from savorycross.fleet import mirror_sync


class Servers:
    """The Servers of an instance, each at its address.

    :param settings: InstanceSettings.
    :param handlers: Handler by address.
    :param make_server: callable that makes the Server of a Handler.
    """

    def __init__(self, settings, handlers, make_server):
        self.by_address = {
            address: make_server(handle)
            for address, handle in handlers.items()
        }
        # What tells of the instance answers in any state.
        for address in (
            settings.ready_address,
            settings.directory_address,
            settings.metrics_address,
        ):
            self.by_address[address].refuses_new = False
        self.callers = self.by_address[settings.caller_address]
        self.peers = self.by_address[settings.peer_address]

    @property
    def all(self):
        """All Servers."""
        return tuple(self.by_address.values())


def make_peer_handler(mirror, engine):
    """Return the Handler of requests from other instances.

    :param mirror: Mirror of the store.
    :param engine: Engine that runs delegated batches.
    """
    handle_copy = mirror_sync.make_handler(mirror)
    delegated_batches = batch_handler.BatchHandler(engine)

    def handle(request, respond):
        if request.target == batch_handler.PATH:
            return delegated_batches.handle(request, respond)
        return handle_copy(request, respond)

    return handle
