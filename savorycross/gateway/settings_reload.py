"""Reads the settings again, at an interval and on demand."""

import trio

# How often the settings are read again, as they may change without a signal.
INTERVAL_S = 2.0


class SettingsReload:
    """The settings in force.

    :param settings: InstanceSettings at the start.
    :param read: callable that reads them again.
    :param error_type: exception of ``read`` for invalid settings, with a
        ``message``.
    :param on_changed: called with the InstanceSettings that have changed.
    :param log: EventLog.
    """

    def __init__(self, settings, read, error_type, on_changed, log):
        self._settings = settings
        self._read = read
        self._error_type = error_type
        self._on_changed = on_changed
        self._log = log

    async def run(self):
        """Read the settings at an interval until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self._reload()

    def reload(self):
        """Read the settings now, at the request of an operator."""
        self._log.event('settings.reload_asked')
        self._reload()

    def _reload(self):
        try:
            settings = self._read()
        except self._error_type as exc:
            self._log.event('settings.invalid', reason=exc.message)
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._on_changed(settings)
        self._log.event('settings.changed')
