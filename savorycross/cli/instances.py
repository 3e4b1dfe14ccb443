"""Questions that commands put to all instances."""

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
    """Return the addresses in a text, from the environment by default."""
    if isinstance(entries, (tuple, list)):
        entries = ','.join(map(str, entries))
    text = entries or os.environ.get(
        settings.PREFIX + 'ENTRIES', DEFAULT_ENTRIES
    )
    found = [part.strip() for part in str(text).split(',') if part.strip()]
    for part in found:
        try:
            host_port.split(part)
        except ValueError as exc:
            raise errors.UsageError(f'entries: {exc}') from exc
    return found


async def addresses(entries):
    """Return the addresses of all instances that the entries name."""
    first = split_entries(entries)
    async with clients.Client(first) as client:
        found = await client.entries()
    return list(dict.fromkeys([*first, *(e.address for e in found.entries)]))


async def statuses(entries):
    """Return the InstanceStatus of each instance that answers."""
    found = await ask_all(entries, '/v1/status', status.InstanceStatus)
    by_name = {s.name: s for s in found}
    return sorted(by_name.values(), key=lambda s: s.name)


async def events(entries, subject, since):
    """Return events of all instances in causal order."""
    path = f'/v1/events?since={since}'
    if subject:
        path += f'&subject={subject}'
    found = await ask_all(entries, path, list[journal.Event])
    return journal.merge_journals(*found)


async def announce(entries, made):
    """Hand a landed catalogue to one instance; it tells the others.

    Returns quietly if none answers: they read the store themselves.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        for address in split_entries(entries):
            try:
                with trio.fail_after(TIMEOUT_S):
                    reply = await pool.request(
                        'POST',
                        f'http://{address}/v1/catalogue',
                        headers=[('Host', address)],
                        content=keeper.encode_compressed(made),
                    )
            except (*NETWORK_ERRORS, trio.TooSlowError):
                continue
            if reply.status == 200:
                return


async def ask_all(entries, path, kind):
    """Return the decoded answers of all instances that answer."""
    found = []

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
            found.append(msgspec.json.decode(reply.content, type=kind))

    targets = await addresses(entries)
    async with httpcore.AsyncConnectionPool() as pool:
        async with trio.open_nursery() as nursery:
            for address in targets:
                nursery.start_soon(ask, pool, address)
    return found
