"""What this instance sends over the links to other data centres."""

import collections


class LinkUse:
    """Counts sends by data centre and reason, and bytes by data centre.

    :param data_centre: this instance's data centre.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre
        self.sends = collections.Counter()
        self.bytes = collections.Counter()

    def set_gauges(self, metrics):
        """Set the gauges of sends and bytes.

        :param metrics: metrics.registry.Registry.
        """
        source = self._data_centre
        for (name, reason), count in self.sends.items():
            metrics.set_gauge(
                'remote_sends',
                count,
                source=source,
                destination=name,
                reason=reason,
            )
        for name, count in self.bytes.items():
            metrics.set_gauge(
                'remote_bytes', round(count), source=source, destination=name
            )
