"""Applies changes of the store to targets, configuration and peers."""

from savorycross import errors


class StoreChangeHandler:
    """Handles each changed item of the store by the kind of its key.

    :param keys: module or object that decodes the store's keys; see
        ``platform.keys``.
    :param decode_configuration: callable that takes bytes and returns a
        Configuration.
    :param gateway: Gateway.
    :param target_registry: TargetRegistry.
    :param log: EventLog.
    :param metrics: metrics.registry.Registry.
    :param now: callable that returns the runtime clock time in seconds.
    :param on_peer: called with the key and the Item of an instance's
        announcement, or with None for the item once it is removed.
    :param read_age_ms: callable that returns the milliseconds for which
        changes of the store may be missing, or None.

    ``on_rollout`` is called in the same way with the items of roll-outs.
    """

    def __init__(
        self,
        keys,
        decode_configuration,
        gateway,
        target_registry,
        log,
        metrics,
        now,
        on_peer,
        read_age_ms=lambda: None,
    ):
        self._keys = keys
        self._decode_configuration = decode_configuration
        self._gateway = gateway
        self._target_registry = target_registry
        self._log = log
        self._metrics = metrics
        self._now = now
        self._on_peer = on_peer
        self._read_age_ms = read_age_ms
        self.on_rollout = lambda key, item: None

    def apply(self, key, item):
        """Apply a change of an item.

        :param key: key of the item.
        :param item: new Item, or None if the item was removed.
        """
        keys = self._keys
        if keys.is_target(key):
            self._apply_target(key, item)
        elif key == keys.CONFIGURATION:
            self._apply_configuration(item)
        elif keys.is_instance(key):
            self._on_peer(key, item)
        elif keys.is_rollout(key):
            self.on_rollout(key, item)
        elif (data_centre := keys.evacuated_data_centre(key)) is not None:
            is_evacuated = item is not None
            self._target_registry.set_evacuated(
                data_centre, is_evacuated, self._now()
            )

    def _apply_target(self, key, item):
        if item is None:
            self._remove_target(key)
            return
        try:
            target = self._keys.decode_target(key, item.value)
        except ValueError as exc:
            self._metrics.count('entries_invalid')
            self._log.event('target.invalid', key=key[:80], reason=str(exc))
            self._remove_target(key)
            return
        self._target_registry.put(target, self._now())

    def _remove_target(self, key):
        self._target_registry.remove(self._keys.target_id(key), self._now())

    def _apply_configuration(self, item):
        if item is None:
            self._log.event('configuration.missing')
            return
        try:
            configuration = self._decode_configuration(item.value)
        except errors.ConfigurationInvalidError as exc:
            self._metrics.count('configurations_invalid')
            self._log.event('configuration.invalid', reason=exc.message)
            return
        current = self._gateway.configuration
        if current is not None and current.version >= configuration.version:
            self._log.event(
                'configuration.older',
                version=configuration.version,
                in_force=current.version,
            )
            return
        self._gateway.adopt(configuration)
        self._metrics.set_gauge('configuration_version', configuration.version)
        self._log.event(
            'configuration.adopted',
            version=configuration.version,
            revision=item.revision,
            source=item.source and item.source.value,
            age_ms=self._read_age_ms(),
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces.workspaces),
        )
        for name, holder in configuration.workspaces.conflicts:
            self._log.event(
                'workspace.key_taken', workspace=name, holder=holder
            )
