"""The composition root: one instance with real sockets."""

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

LIST_ATTEMPTS = 3
SECRET_BYTES = 32


async def serve(settings):
    """Run an instance until it is told to stop.

    :param settings: Settings.
    """
    log = logs.make_logger(settings.name)
    store = http.HttpStore(host_port.split(settings.platform))
    own = make_member(settings)
    seeds = await find_seeds(settings, store, log)
    async with trio.open_nursery() as nursery:
        outside = make_surroundings(settings, store, seeds, nursery)
        found = instances.Instance(own, outside, nursery)
        app = apps.App(found)
        await _listen(found, nursery)
        nursery.start_soon(found.run)
        nursery.start_soon(_log_changes, found, log)
        ended = trio.Event()
        nursery.start_soon(_serve_http, settings, app, ended)
        log.info('serving')
        await _wait_for_stop(settings, found, app, log)
        ended.set()
        nursery.cancel_scope.cancel()


def make_member(settings):
    """Return the Member that settings describe, as of now."""
    return member.Member(
        name=settings.name,
        data_centre=settings.data_centre,
        host=settings.host,
        http_port=settings.http_port,
        peer_port=settings.peer_port,
        incarnation=member.make_incarnation(time.time()),
    )


def make_surroundings(settings, store, seeds, nursery):
    """Return the Surroundings of an instance with real sockets."""
    return instances.Surroundings(
        store=store,
        make_peers=functools.partial(_make_peers, nursery=nursery),
        make_datagrams=_make_datagrams,
        make_wire=functools.partial(_make_wire, nursery=nursery),
        wall=time.time,
        secret=secrets.token_bytes(SECRET_BYTES),
        ownership=rendezvous.RendezvousOwnership(),
        policy=make_policy(settings),
        keep_s=settings.keep_s,
        seeds=seeds,
        seed=secrets.randbits(32),
    )


def make_policy(settings):
    """Return the relay Policy that settings ask for."""
    hedging = hedge.NoHedging()
    if settings.hedging == 'quantile':
        hedging = hedge.QuantileHedging()
    return policy.Policy(hedging=hedging, extra_ratio=settings.extra_load)


async def find_seeds(settings, store, log):
    """Return members to ask at first, from settings and the platform."""
    found = [
        _make_seed(*host_port.split(part))
        for part in settings.seeds.split(',')
        if part
    ]
    for _ in range(LIST_ATTEMPTS):
        try:
            listed = await store.instances()
        except errors.StoreUnavailableError:
            log.warning('platform does not answer')
            continue
        found += [_make_seed(i.host, i.peer_port) for i in listed]
        break
    own = _make_seed(settings.host, settings.peer_port)
    return tuple(s for s in dict.fromkeys(found) if s != own)


def _make_seed(host, peer_port):
    return member.Member(f'@{host}:{peer_port}', '', host, 0, peer_port, 0)


def _make_peers(found, nursery):
    return link.PeerLinks(
        found.own,
        found.clock,
        nursery,
        found.on_message,
        found.on_peer_up,
        found.on_peer_lost,
        found.metrics,
    )


def _make_datagrams(found):
    address = (found.own.host, found.own.peer_port)
    return datagrams.UdpDatagrams(address, found.on_datagram, found.metrics)


def _make_wire(found, nursery):
    return target_client.HttpTargetClient(
        f'{found.own.name}.{found.own.incarnation:x}',
        found.clock,
        nursery,
        found.on_result,
        found.on_inventory,
        found.on_connection_lost,
    )


async def _listen(found, nursery):
    await found.datagrams.open()
    nursery.start_soon(found.datagrams.run)
    await nursery.start(
        functools.partial(
            trio.serve_tcp,
            found.peers.accept,
            found.own.peer_port,
            host=found.own.host,
        )
    )


async def _serve_http(settings, app, ended):
    config = hypercorn.config.Config()
    config.bind = [f'{settings.host}:{settings.http_port}']
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = 1.0
    config.keep_alive_timeout = 60.0
    await hypercorn.trio.serve(app, config, shutdown_trigger=ended.wait)


async def _wait_for_stop(settings, found, app, log):
    """Return once the instance has drained, or must end anyway."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_end_on_signal, signals, nursery)
            with trio.move_on_after(settings.stop_timeout_s):
                await stop.drain(found, app, log)
            nursery.cancel_scope.cancel()
    cut = stop.in_flight(found, app)
    if cut:
        log.warning('stop: {} requests cut', cut)
    else:
        log.info('stop: nothing cut')


async def _end_on_signal(signals, nursery):
    await anext(signals)
    nursery.cancel_scope.cancel()


async def _log_changes(found, log):
    """Log changes of state that the journal records."""
    kinds = ('view.', 'config.', 'target.', 'stop.')
    since = 0
    while True:
        await trio.sleep(instances.LIST_INTERVAL_S)
        for event in found.journal.select(since=since):
            since = event.stamp
            if event.kind.startswith(kinds):
                log.info('{} {} {}', event.kind, event.subject, event.fields)
