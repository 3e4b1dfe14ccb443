"""Calls of the platform's store."""

import base64
import math
import urllib.parse

import msgspec

from savorycross.discovery import item
from savorycross import errors
from savorycross.wire import client

CALL_TIMEOUT_S = 1.5


class _Item(msgspec.Struct, frozen=True):
    key: str
    rev: int
    value: str = ''
    removed: bool = False


class _Range(msgspec.Struct, frozen=True):
    current_rev: int
    items: tuple[_Item, ...] = ()
    has_more: bool = False


class _Watch(msgspec.Struct, frozen=True):
    current_rev: int
    events: tuple[_Item, ...] = ()


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class PlatformStore:
    """An ItemStore over the platform's HTTP calls.

    :param address: host and port.
    :param nursery: nursery for the connections.
    """

    def __init__(self, address, nursery):
        self._client = client.Client(address, nursery)

    async def read_page(self, after):
        """Return the items whose keys follow a key."""
        query = {'prefix': ''}
        if after:
            query['after'] = after
        reply = await self._call(b'GET', '/v1/kv-range', query)
        found = _decode(reply, _Range)
        return item.Page(
            _to_items(found.items), found.current_rev, found.has_more
        )

    async def watch(self, revision, wait_s):
        """Return what changed after a revision, or nothing in time."""
        query = {
            'prefix': '',
            'after': revision,
            'wait_ms': int(wait_s * 1000),
        }
        reply = await self._call(
            b'GET', '/v1/kv-watch', query, timeout_s=math.inf
        )
        if reply.status == 410:
            raise errors.HistoryGoneError(f'revision {revision}')
        found = _decode(reply, _Watch)
        return item.Page(_to_items(found.events), found.current_rev)

    async def open_lease(self, ttl_s):
        """Return the id of a new lease."""
        body = {'ttl_ms': int(ttl_s * 1000)}
        reply = await self._call(b'POST', '/v1/kv-lease', body=body)
        return _decode(reply, _Lease).lease

    async def renew_lease(self, lease):
        """Renew a lease."""
        reply = await self._call(b'POST', f'/v1/kv-keep/{lease}', body={})
        _check_lease(reply, lease)

    async def end_lease(self, lease):
        """End a lease."""
        reply = await self._call(b'DELETE', f'/v1/kv-lease-end/{lease}')
        _check_lease(reply, lease)

    async def put(self, key, value, lease):
        """Write a key that lives as long as a lease."""
        put = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': lease,
        }
        body = {'if_rev': [], 'puts': [put], 'remove': []}
        reply = await self._call(b'POST', '/v1/kv-txn', body=body)
        _check_lease(reply, lease)

    async def _call(
        self, method, path, query=None, body=None, timeout_s=CALL_TIMEOUT_S
    ):
        if query:
            path = f'{path}?{urllib.parse.urlencode(query)}'
        data = b'' if body is None else msgspec.json.encode(body)
        headers = ()
        if data:
            headers = ((b'Content-Type', b'application/json'),)
        try:
            return await self._client.call(
                method, path.encode(), data, timeout_s, headers
            )
        except errors.ConnectionLostError as exc:
            raise errors.StoreUnavailableError(
                f'{path.partition("?")[0]}: {exc.message}'
            ) from exc


def _to_items(found):
    return tuple(
        item.Item(i.key, i.rev, _decode_value(i.value), i.removed)
        for i in found
    )


def _decode_value(text):
    try:
        return base64.b64decode(text)
    except ValueError:
        # The owner of the key reports the value as unreadable.
        return text.encode()


def _decode(reply, kind):
    if reply.status != 200:
        raise errors.StoreUnavailableError(f'status {reply.status}')
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except ValueError as exc:
        raise errors.StoreUnavailableError(f'invalid reply: {exc}') from exc


def _check_lease(reply, lease):
    if reply.status == 404:
        raise errors.LeaseEndedError(f'lease {lease}')
    if reply.status not in (200, 204):
        raise errors.StoreUnavailableError(f'status {reply.status}')
