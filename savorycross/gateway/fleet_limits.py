"""The limits that all instances share, and the instances that share them.

The instances come from the entries in the store and from heartbeats.
"""

import time

import trio

from savorycross.fleet import announcer as announcers
from savorycross.fleet import heartbeat
from savorycross.gateway import boot_clock
from savorycross.locality import locality
from savorycross.quota import holders as quota_holders
from savorycross.quota import protocol as quota_protocol
from savorycross.quota import quotas as workspace_quotas
from savorycross.rate import protocol as rate_protocol
from savorycross.rate import target_rates
from savorycross.rate import transport as rate_transports

# An instance counts its lease as ended earlier by this time: that of a call
# that renews it, and of the news of its end.
LEASE_MARGIN_S = 4.0


class FleetLimits:
    """Rates of targets, quotas of workspaces and sends by data centre.

    ``transport`` carries the messages about them, ``rates``, ``quotas`` and
    ``locality`` decide, and ``on_shares`` is called with the shares of the
    instances when they are updated.

    :param settings: InstanceSettings.
    :param own_peer: Peer of this instance.
    :param own_key: key of its entry in the store.
    :param registry: PeerRegistry.
    :param directory: Directory.
    :param target_registry: TargetRegistry.
    :param on_own_lost: called if the entry of this instance was removed.
    :param rng: random.Random.
    :param log: EventLog.
    :param metrics: metrics.registry.Registry.
    """

    def __init__(
        self,
        settings,
        own_peer,
        own_key,
        registry,
        directory,
        target_registry,
        on_own_lost,
        rng,
        log,
        metrics,
    ):
        self._own_peer = own_peer
        self._own_key = own_key
        self._registry = registry
        self._directory = directory
        self._on_own_lost = on_own_lost
        self._log = log
        self.on_shares = None
        self._rate_port = settings.rate_address[1]
        self.transport = rate_transports.RateTransport(
            settings.rate_address, self._find_address, metrics
        )
        self._make_rates(settings, target_registry, rng)
        self._make_quotas(settings, rng, metrics)
        self.locality = locality.Locality(
            settings.data_centre, rng, log, settings.link_byte_s
        )

    def _make_rates(self, settings, target_registry, rng):
        self.rates = target_rates.TargetRates(
            settings.name,
            not settings.is_first_start,
            target_registry,
            self.transport.send,
            rng,
            self._log,
            trio.current_time(),
        )
        self.transport.listen(
            rate_protocol.decode,
            lambda message: self.rates.on_message(
                message, trio.current_time()
            ),
        )

    def _make_quotas(self, settings, rng, metrics):
        self.quotas = workspace_quotas.Quotas(
            settings.name,
            not settings.is_first_start,
            settings.quota_limits,
            self.transport.send,
            rng,
            self._log,
            metrics,
            trio.current_time(),
            boot_clock.read_boot_clock,
        )
        self._quota_holders = quota_holders.Holders(
            settings.name,
            announcers.LEASE_TTL_S,
            LEASE_MARGIN_S,
            trio.current_time(),
        )
        self.transport.listen(
            quota_protocol.decode,
            lambda message: self.quotas.on_message(
                message, trio.current_time()
            ),
        )

    def _find_address(self, name):
        host = self._registry.find_host(name)
        return (host, self._rate_port) if host else None

    def on_renewed(self, sent_at):
        """Note that the lease of this instance's entry was renewed.

        :param sent_at: runtime clock time at which the store was asked to.
        """
        self._quota_holders.record_renewal(sent_at)

    def on_entry(self, key, item):
        """Take over the entry of an instance in the store.

        :param key: key of the entry.
        :param item: its new value, or None if it was removed.
        """
        if item is None:
            self._quota_holders.record_removal(key)
            if key == self._own_key:
                self._on_own_lost()
            return
        try:
            peer = heartbeat.decode_peer(item.value)
        except ValueError as exc:
            self._log.event('instance.invalid', key=key, reason=str(exc))
            return
        if key == self._own_key:
            self._on_own_entry(peer)
            return
        self._quota_holders.record_entry(key, peer.name)
        self._registry.register(peer, trio.current_time())
        self.update(trio.current_time())

    def _on_own_entry(self, peer):
        """Learn of the process that has run in place of this one.

        :param peer: Peer in the store's entry of this instance.
        """
        if peer.id != self._own_peer.id:
            age_s = time.time() - peer.started_at / 1000
            self.quotas.record_predecessor(age_s, trio.current_time())

    def update(self, now):
        """Pass the instances that share limits now on to the limits.

        :param now: runtime clock time in seconds.
        """
        directory = self._directory
        self.on_shares(directory.shares(now))
        rate_shares = directory.rate_shares(now)
        self.locality.set_senders(directory.count_local(now))
        self.rates.set_shares(rate_shares, now)
        view = self._quota_holders.choose(
            rate_shares,
            lambda: [p.name for p in self._registry.serving_peers(now)],
            now,
            lambda: [s.peer.name for s in self._registry.live_states(now)],
        )
        self.quotas.set_view(view, now)
