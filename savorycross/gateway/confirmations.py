"""Confirms that the configuration, with its keys, is the newest one."""

import trio

from savorycross.discovery import confirmer as confirmers
from savorycross.discovery import peer_confirmer as peer_confirmers
from savorycross.gateway import boot_clock
from savorycross.workspace import confirmation


class Confirmations:
    """Confirmations from the store and from other instances.

    ``store_confirmer`` asks the store, ``peer_confirmer`` the others.

    :param name: name of this instance.
    :param store: client of the store, used by nothing else.
    :param configuration_key: key of the configuration in the store.
    :param mirror: Mirror of the store.
    :param key_freshness: Freshness that is confirmed.
    :param gateway: Gateway.
    :param directory: Directory.
    :param transport: RateTransport.
    :param on_adopted: called if a confirmation brought a configuration.
    :param log: EventLog.
    :param metrics: metrics.registry.Registry.
    """

    def __init__(
        self,
        name,
        store,
        configuration_key,
        mirror,
        key_freshness,
        gateway,
        directory,
        transport,
        on_adopted,
        log,
        metrics,
    ):
        self.store = store
        self._configuration_key = configuration_key
        self._mirror = mirror
        self._gateway = gateway
        self.store_confirmer = confirmers.Confirmer(
            store,
            configuration_key,
            mirror,
            key_freshness,
            log,
            boot_clock.read_boot_clock,
            lambda: directory.lists_own(trio.current_time()),
            lambda: gateway.has_workspaces,
            on_adopted,
        )
        self.peer_confirmer = peer_confirmers.PeerConfirmer(
            name,
            lambda: directory.names(trio.current_time()),
            transport.send,
            key_freshness,
            self._find_statement,
            boot_clock.read_boot_clock,
            metrics,
        )
        transport.listen(confirmation.decode, self.peer_confirmer.on_message)

    def _find_statement(self):
        """Return the confirmation.Statement of this instance, or None."""
        item = self._mirror.items.get(self._configuration_key)
        if item is None or not self._gateway.has_workspaces:
            return None
        return confirmation.Statement(item.revision, self._gateway.version)
