"""The composition root: builds and runs one instance with real sockets."""

import functools
import secrets
import signal
import time

import hypercorn.config
import hypercorn.trio
import trio

from savorycross.daemon import instance as instances
from savorycross.daemon import logs
from savorycross.daemon import stop
from savorycross.entry import app as apps
from savorycross import errors
from savorycross import host_port
from savorycross.membership import member
from savorycross.ownership import rendezvous
from savorycross.peer import datagrams
from savorycross.peer import link
from savorycross.relay import hedge
from savorycross.relay import policy
from savorycross.store import http
from savorycross.target import client as target_client

SEED_LIST_ATTEMPTS = 3
SECRET_BYTES = 32


async def serve(settings):
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully.

    A second signal, or the end of ``stop_timeout_s``, ends it at once.

    :param settings: Settings.
    """
    log = logs.make_logger(settings.name)
    store = http.HttpStore(host_port.split(settings.platform))
    own_member = make_member(settings)
    seeds = await find_seeds(settings, store, log)
    async with trio.open_nursery() as nursery:
        dependencies = make_dependencies(settings, store, seeds, nursery)
        instance = instances.Instance(own_member, dependencies, nursery)
        app = apps.App(instance)
        await _listen(instance, nursery)
        nursery.start_soon(instance.run)
        nursery.start_soon(_log_state_changes, instance, log)
        stop_event = trio.Event()
        nursery.start_soon(_serve_http, settings, app, stop_event)
        log.info('serving')
        await _wait_until_stopped(settings, instance, app, log)
        stop_event.set()
        nursery.cancel_scope.cancel()


def make_member(settings):
    """Return the Member that settings describe, with a new incarnation."""
    return member.Member(
        name=settings.name,
        data_centre=settings.data_centre,
        host=settings.host,
        http_port=settings.http_port,
        peer_port=settings.peer_port,
        incarnation=member.make_incarnation(time.time()),
    )


def make_dependencies(settings, store, seeds, nursery):
    """Return the Dependencies of an instance with real sockets.

    :param settings: Settings.
    :param store: Store.
    :param seeds: members to contact first.
    :param nursery: runs the tasks of the sockets.
    """
    return instances.Dependencies(
        store=store,
        make_peers=functools.partial(_make_peers, nursery=nursery),
        make_datagrams=_make_datagrams,
        make_target_client=functools.partial(
            _make_target_client, nursery=nursery
        ),
        wall=time.time,
        secret=secrets.token_bytes(SECRET_BYTES),
        ownership=rendezvous.RendezvousOwnership(),
        policy=make_policy(settings),
        keep_s=settings.keep_s,
        seeds=seeds,
        seed=secrets.randbits(32),
    )


def make_policy(settings):
    """Return the relay Policy that settings select."""
    hedging = hedge.NoHedging()
    if settings.hedging == 'quantile':
        hedging = hedge.QuantileHedging()
    return policy.Policy(hedging=hedging, extra_ratio=settings.extra_load)


async def find_seeds(settings, store, log):
    """Return the members to contact first, from settings and the platform.

    The platform is asked up to ``SEED_LIST_ATTEMPTS`` times.

    :returns: tuple of Member, without this instance.
    """
    seeds = [
        _make_seed(*host_port.split(part))
        for part in settings.seeds.split(',')
        if part
    ]
    for _ in range(SEED_LIST_ATTEMPTS):
        try:
            listed_instances = await store.instances()
        except errors.StoreUnavailableError:
            log.warning('the platform does not answer')
            continue
        seeds += [_make_seed(i.host, i.peer_port) for i in listed_instances]
        break
    own_seed = _make_seed(settings.host, settings.peer_port)
    return tuple(s for s in dict.fromkeys(seeds) if s != own_seed)


def _make_seed(host, peer_port):
    """Return a Member that stands for an instance of unknown name."""
    return member.Member(f'@{host}:{peer_port}', '', host, 0, peer_port, 0)


def _make_peers(instance, nursery):
    return link.PeerLinks(
        instance.own,
        instance.clock,
        nursery,
        instance.on_message,
        instance.on_peer_up,
        instance.on_peer_lost,
        instance.metrics,
    )


def _make_datagrams(instance):
    address = (instance.own.host, instance.own.peer_port)
    return datagrams.UdpDatagrams(
        address, instance.on_datagram, instance.metrics
    )


def _make_target_client(instance, nursery):
    return target_client.HttpTargetClient(
        f'{instance.own.name}.{instance.own.incarnation:x}',
        instance.clock,
        nursery,
        instance.on_result,
        instance.on_inventory,
        instance.on_connection_lost,
        instance.relay.count_request,
        instance.relay.check_interval_s,
    )


async def _listen(instance, nursery):
    """Open the sockets for heartbeats and for links to peers."""
    await instance.datagrams.open()
    nursery.start_soon(instance.datagrams.run)
    await nursery.start(
        functools.partial(
            trio.serve_tcp,
            instance.peers.accept,
            instance.own.peer_port,
            host=instance.own.host,
        )
    )


async def _serve_http(settings, app, stop_event):
    """Serve HTTP requests until ``stop_event`` is set."""
    config = hypercorn.config.Config()
    config.bind = [f'{settings.host}:{settings.http_port}']
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = 1.0
    config.keep_alive_timeout = 60.0
    await hypercorn.trio.serve(app, config, shutdown_trigger=stop_event.wait)


async def _wait_until_stopped(settings, instance, app, log):
    """Wait for a signal, then drain the instance.

    Draining ends after ``stop_timeout_s`` at the latest, or on a second
    signal.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_signal, signals, nursery)
            with trio.move_on_after(settings.stop_timeout_s):
                await stop.drain(instance, app, log)
            nursery.cancel_scope.cancel()
    interrupted = stop.count_in_flight(instance, app)
    if interrupted:
        log.warning('stop: {} requests cut', interrupted)
    else:
        log.info('stop: nothing cut')


async def _cancel_on_signal(signals, nursery):
    """Cancel a nursery on the next signal."""
    await anext(signals)
    nursery.cancel_scope.cancel()


async def _log_state_changes(instance, log):
    """Log the changes of state that the journal records."""
    kinds = ('view.', 'config.', 'target.', 'stop.')
    since = 0
    while True:
        await trio.sleep(instances.POLL_INTERVAL_S)
        for event in instance.journal.select(since=since):
            since = event.stamp
            if event.kind.startswith(kinds):
                log.info('{} {} {}', event.kind, event.subject, event.fields)
