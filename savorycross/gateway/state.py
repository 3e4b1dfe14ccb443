"""Turns changes of the store into targets, configurations and peers."""

from savorycross import errors


class StoreState:
    """Takes changed items.

    :param keys: module or object that knows the keys; see
        ``platform.keys``.
    :param decode_configuration: callable from bytes to a Configuration.
    :param gateway: Gateway.
    :param roster: Roster.
    :param log: EventLog.
    :param metrics: Registry.
    :param now: callable that returns the runtime clock time.
    :param on_peer: called with key and item of an instance's announcement.
    """

    def __init__(
        self,
        keys,
        decode_configuration,
        gateway,
        roster,
        log,
        metrics,
        now,
        on_peer,
    ):
        self._keys = keys
        self._decode_configuration = decode_configuration
        self._gateway = gateway
        self._roster = roster
        self._log = log
        self._metrics = metrics
        self._now = now
        self._on_peer = on_peer

    def change(self, key, item):
        """Take an item, or None for one that was removed."""
        keys = self._keys
        if keys.is_target(key):
            self._change_target(key, item)
        elif key == keys.CONFIGURATION:
            self._change_configuration(item)
        elif keys.is_instance(key):
            self._on_peer(key, item)
        elif (data_centre := keys.evacuated_data_centre(key)) is not None:
            is_out = item is not None
            self._roster.set_out(data_centre, is_out, self._now())

    def _change_target(self, key, item):
        if item is None:
            self._roster.remove(self._keys.target_id(key))
            return
        try:
            found = self._keys.decode_target(key, item.value)
        except ValueError as exc:
            self._metrics.count('entries_invalid')
            self._log.event('target.invalid', key=key[:80], reason=str(exc))
            self._roster.remove(self._keys.target_id(key))
            return
        self._roster.put(found, self._now())

    def _change_configuration(self, item):
        if item is None:
            self._log.event('configuration.missing')
            return
        try:
            found = self._decode_configuration(item.value)
        except errors.ConfigurationInvalidError as exc:
            self._metrics.count('configurations_invalid')
            self._log.event('configuration.invalid', reason=exc.message)
            return
        known = self._gateway.configuration
        if known is not None and known.version >= found.version:
            self._log.event(
                'configuration.older',
                version=found.version,
                in_force=known.version,
            )
            return
        self._gateway.adopt(found)
        self._metrics.set_gauge('configuration_version', found.version)
        self._log.event(
            'configuration.adopted',
            version=found.version,
            revision=item.revision,
            routes=len(found.routes),
        )
