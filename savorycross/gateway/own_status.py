"""What an instance tells others about itself, and when it is ready."""

import trio

from savorycross.fleet import heartbeat


class OwnStatus:
    """The status of an instance.

    :param instance_directory: Directory.
    :param mirror: Mirror of the store.
    :param configuration_key: key of the configuration in the store.
    :param follower: Follower of the store.
    :param gateway: Gateway.
    :param loop_load: LoopLoad.
    :param read_speed: callable that returns the part of a core that the
        instance can use now.
    :param log: EventLog.
    """

    def __init__(
        self,
        instance_directory,
        mirror,
        configuration_key,
        follower,
        gateway,
        loop_load,
        read_speed,
        log,
    ):
        self.is_synced = False
        self._directory = instance_directory
        self._mirror = mirror
        self._configuration_key = configuration_key
        self._follower = follower
        self._gateway = gateway
        self._loop_load = loop_load
        self._read_speed = read_speed
        self._log = log
        self._settled_version = 0

    def heartbeat_fields(self, is_stopping):
        """Return what heartbeats tell peers about this instance."""
        return {
            'flags': self._directory.is_ready * heartbeat.READY
            | is_stopping * heartbeat.LEAVING,
            'revision': self._mirror.revision.number,
            'era': self._mirror.revision.era,
            'configuration': self._find_settled_version(),
            'has_store': self._follower.is_connected,
            'load': round(100 * self._loop_load.value),
            'capacity': round(1000 * self._read_speed()),
            'age_ms': self._mirror.age_ms(trio.current_time()),
        }

    def _find_settled_version(self):
        """Return the configuration's version at the mirror's revision.

        A confirmation may bring a newer one, which peers get with the next
        changes. If they heard of it before, each would copy all items.
        """
        item = self._mirror.items.get(self._configuration_key)
        if item is None or item.revision <= self._mirror.revision:
            self._settled_version = self._gateway.version
        return self._settled_version

    def update_readiness(self, is_stopping, is_listening):
        """Become ready once callers can connect and be served.

        :param is_stopping: whether the instance is stopping.
        :param is_listening: whether callers can connect.
        """
        if is_stopping or self._directory.is_ready:
            return
        if self.is_synced and is_listening:
            self._directory.is_ready = True
            self._log.event('instance.ready', version=self._gateway.version)
