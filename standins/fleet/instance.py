"""A modelled instance: the product's gateway and engine on model sockets."""

import random

from savorycross.delegate import selector
from savorycross.fleet import heartbeat
from savorycross.forward import target_registry
from savorycross.gateway import gateway
from savorycross.gateway import instance_settings
from savorycross.metrics import registry
from savorycross.rate import target_rates
from standins.fleet import dialect
from standins.fleet import pool

WINDOW_S = 10.0
# Processor time of a request and of each of its sends, for the load that an
# instance reports.
REQUEST_S = 0.001
SEND_S = 0.0002


class _NoPeers:
    """Peers of an instance without delegates."""

    def serving_peers(self, now):
        """Return no peers."""
        return ()


class _NoLog:
    """A log that keeps nothing."""

    def event(self, event, request='', detail=None, **fields):
        """Do nothing."""


class ModelInstance:
    """One instance of a modelled fleet.

    ``load`` is the part of a core that it uses, and ``listed_until`` the time
    until which the directory lists it after its end.

    :param name: name of the instance.
    :param data_centre: name of its data centre.
    :param fleet: Fleet.
    :param is_first_start: whether no other process ran in its place.
    """

    def __init__(self, name, data_centre, fleet, is_first_start=True):
        self.name = name
        self.data_centre = data_centre
        self.is_alive = True
        self.dialect = dialect.ModelDialect()
        self.load = 0.0
        self.listed_until = 0.0
        self._fleet = fleet
        self._running = {}
        self._work_s = 0.0
        now = fleet.scheduler.now
        rng = random.Random(f'{fleet.seed}/{name}/{is_first_start}')
        log = _NoLog()
        self.targets = target_registry.TargetRegistry(self._make_pool, log)
        address = ('127.0.0.1', 1)
        self.rates = target_rates.TargetRates(
            name,
            not is_first_start,
            self.targets,
            fleet.send_rate_message,
            rng,
            log,
            fleet.scheduler.time,
        )
        own = heartbeat.Peer(name, 1, data_centre, address, address)
        locality = fleet.variant.make_locality(data_centre, rng, log)
        self.engine = fleet.variant.make_engine(
            settings=_make_settings(name, data_centre, fleet, is_first_start),
            dialect=self.dialect,
            target_registry=self.targets,
            picker=fleet.variant.make_picker(data_centre, rng),
            delegates=selector.DelegateSelector(own, _NoPeers(), None),
            timers=fleet.scheduler,
            log=log,
            metrics=registry.Registry(),
            rates=self.rates,
            now=now,
            locality=locality,
        )
        self._gateway = gateway.Gateway(self.engine)
        self._gateway.adopt(fleet.configuration)

    def handle(self, request, respond, on_cut):
        """Handle a caller's request.

        :param respond: called with the Reply.
        :param on_cut: called if the instance ends before.
        :returns: the running call, or None.
        """
        key = object()

        def end(reply):
            self._running.pop(key, None)
            respond(reply)

        self._running[key] = (None, on_cut)
        self._work_s += REQUEST_S
        self._fleet.count_request(request.target)
        running = self._gateway.handle(request, end)
        if key in self._running:
            self._running[key] = (running, on_cut)
        return running

    def end(self):
        """End the process: its calls are cut, their targets' work stops."""
        self.is_alive = False
        running, self._running = self._running, {}
        for call, on_cut in running.values():
            if call is not None:
                call.cancel()
            on_cut()

    def measure_load(self, elapsed_s):
        """Update the load from the work of the past seconds."""
        self.load = self._work_s / elapsed_s
        self._work_s = 0.0

    def _make_pool(self, address):
        fleet = self._fleet
        is_remote = fleet.find_data_centre(address[0]) != self.data_centre
        link_s = fleet.pattern.link_ms / 1000 if is_remote else 0.0
        return _CountingPool(
            fleet.targets[address[0]], fleet.scheduler, link_s, is_remote, self
        )

    def count_send(self, is_remote):
        """Count the processor time of a send."""
        self._work_s += SEND_S
        self._fleet.remote_sends += is_remote


class _CountingPool(pool.ModelPool):
    """A pool that counts the sends of its instance."""

    def __init__(self, target, scheduler, link_s, is_remote, instance):
        super().__init__(target, scheduler, link_s)
        self._is_remote = is_remote
        self._instance = instance

    def send(self, exchange, max_idle_s=None, avoided=()):
        """Send an exchange; see ``ModelPool.send``."""
        self._instance.count_send(self._is_remote)
        return super().send(exchange, max_idle_s)


def _make_settings(name, data_centre, fleet, is_first_start):
    pattern = fleet.pattern
    address = (name, 1)
    return instance_settings.InstanceSettings(
        name=name,
        data_centre=data_centre,
        caller_address=address,
        ready_address=address,
        directory_address=address,
        peer_address=address,
        rate_address=address,
        metrics_address=address,
        store_address=address,
        seeds=(),
        is_first_start=is_first_start,
        grace_s=6.0,
        recovery_s=4.0,
        apply_s=3.0,
        drain_s=3.0,
        evacuate_s=5.0,
        max_directory_ttl_s=5.0,
        extra_send_limits=instance_settings.ExtraSendLimits(
            pattern.extra_ratio, pattern.extra_slack, WINDOW_S
        ),
        cold_send_limits=instance_settings.ColdSendLimits(1.5, 5.0),
    )
