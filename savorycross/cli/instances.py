"""Requests that commands send to instances."""

import os

import httpcore
import msgspec
import trio

from savorycross.catalogue import keeper
from savorycross.client import client as clients
from savorycross.entry import status
from savorycross import errors
from savorycross.events import journal
from savorycross import host_port
from savorycross import settings

DEFAULT_ENTRIES = '127.0.0.1:7001'
TIMEOUT_S = 3.0
NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


def split_entries(entries):
    """Return the addresses of the instances to contact first, as a list.

    :param entries: addresses separated by commas, or a tuple or list of
        them; if empty, they come from the environment variable
        ``SAVORYCROSS_ENTRIES``, or else are ``DEFAULT_ENTRIES``.
    :raises UsageError: if one is not an IP address with a port.
    """
    if isinstance(entries, (tuple, list)):
        entries = ','.join(map(str, entries))
    text = entries or os.environ.get(
        settings.PREFIX + 'ENTRIES', DEFAULT_ENTRIES
    )
    parts = [part.strip() for part in str(text).split(',') if part.strip()]
    for part in parts:
        try:
            host_port.split(part)
        except ValueError as exc:
            raise errors.UsageError(f'entries: {exc}') from exc
    return parts


async def addresses(entries):
    """Return the addresses of all instances that the entries list.

    :raises NoInstanceError: if no instance returns a list.
    """
    seed_addresses = split_entries(entries)
    async with clients.Client(seed_addresses) as client:
        listed = await client.entries()
    return list(
        dict.fromkeys([*seed_addresses, *(e.address for e in listed.entries)])
    )


async def statuses(entries):
    """Return the InstanceStatus of each answering instance, by name."""
    received = await ask_all(entries, '/v1/status', status.InstanceStatus)
    by_name = {s.name: s for s in received}
    return sorted(by_name.values(), key=lambda s: s.name)


async def events(entries, subject, since):
    """Return events of all answering instances in causal order.

    :param subject: id or name that the events are about, or None for all.
    :param since: stamp after which the events begin.
    """
    path = f'/v1/events?since={since}'
    if subject:
        path += f'&subject={subject}'
    journals = await ask_all(entries, path, list[journal.Event])
    return journal.merge_journals(*journals)


async def announce(entries, catalogue):
    """Send an accepted catalogue to one instance, which passes it on.

    If no instance accepts it, this is not an error, as the instances also
    read the store.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        for address in split_entries(entries):
            try:
                with trio.fail_after(TIMEOUT_S):
                    reply = await pool.request(
                        'POST',
                        f'http://{address}/v1/catalogue',
                        headers=[('Host', address)],
                        content=keeper.encode_compressed(catalogue),
                    )
            except (*NETWORK_ERRORS, trio.TooSlowError):
                continue
            if reply.status == 200:
                return


async def ask_all(entries, path, kind):
    """Return a list of the decoded replies of all instances that answer.

    :param entries: as for ``split_entries``.
    :param path: path of the resource, with its query string.
    :param kind: type of the replies' JSON bodies.
    """
    replies = []

    async def ask(pool, address):
        headers = [('Host', address)]
        try:
            with trio.fail_after(TIMEOUT_S):
                reply = await pool.request(
                    'GET', f'http://{address}{path}', headers=headers
                )
        except (*NETWORK_ERRORS, trio.TooSlowError):
            return
        if reply.status == 200:
            replies.append(msgspec.json.decode(reply.content, type=kind))

    instance_addresses = await addresses(entries)
    async with httpcore.AsyncConnectionPool() as pool:
        async with trio.open_nursery() as nursery:
            for address in instance_addresses:
                nursery.start_soon(ask, pool, address)
    return replies
