"""A client of the platform's store."""

import base64
import math
import urllib.parse

import msgspec
import trio

from savorycross import decoding
from savorycross.discovery import item
from savorycross import errors
from savorycross.wire import client

CALL_TIMEOUT_S = 1.5
# A listing that was not answered in that time gets this one the next time: the
# store may be slow, or the connection silent for good.
SLOW_LISTING_TIMEOUT_S = 3.0
# The shortest wait of a watch, which so answers at once.
NO_WAIT_MS = 1


class _Item(msgspec.Struct, frozen=True):
    key: str
    rev: decoding.Integer
    value: str = ''
    removed: bool = False


class _Range(msgspec.Struct, frozen=True):
    current_rev: decoding.Integer
    items: tuple[_Item, ...] = ()
    has_more: bool = False


class _Watch(msgspec.Struct, frozen=True):
    current_rev: decoding.Integer
    events: tuple[_Item, ...] = ()


# Number of the store's era, in all of its answers.
_ERA = b'store-era'


class _Lease(msgspec.Struct, frozen=True):
    lease: decoding.Integer


_range_decoder = msgspec.json.Decoder(_Range)
_watch_decoder = msgspec.json.Decoder(_Watch)
_lease_decoder = msgspec.json.Decoder(_Lease)


class PlatformStore:
    """Implements ``discovery.item.ItemStore`` over HTTP.

    :param address: host and port of the store.
    :param nursery: nursery for the connections.
    """

    def __init__(self, address, nursery):
        self._client = client.Client(address, nursery)
        self._era = 0
        self._listing_timeout_s = CALL_TIMEOUT_S

    @property
    def connection_count(self):
        """Number of open connections to the store."""
        return self._client.connection_count

    async def read_page(self, after):
        """Return the first items whose keys sort after a key."""
        query = {'prefix': ''}
        if after:
            query['after'] = after
        reply = await self._list(query)
        return self._read_range(reply, item.Source.LISTING)

    async def read_key(self, key):
        """Return a key as it is now, and others that begin with it."""
        reply = await self._call(
            b'GET', '/v1/kv-range', {'prefix': key}, timeout_s=math.inf
        )
        return self._read_range(reply, item.Source.CONFIRMATION)

    def _read_range(self, reply, source):
        page = _decode(reply, _range_decoder)
        if page.has_more and not page.items:
            raise errors.StoreUnavailableError('a page without items has more')
        era = self._read_era(reply)
        return item.Page(
            _to_items(page.items, era, source),
            item.Revision(era, page.current_rev),
            page.has_more,
        )

    async def _list(self, query):
        """Call for a page of a listing, patiently each second time."""
        started_at = trio.current_time()
        timeout_s = self._listing_timeout_s
        try:
            reply = await self._call(
                b'GET', '/v1/kv-range', query, timeout_s=timeout_s
            )
        except errors.StoreUnavailableError:
            self._listing_timeout_s = CALL_TIMEOUT_S
            if timeout_s == CALL_TIMEOUT_S:
                self._listing_timeout_s = SLOW_LISTING_TIMEOUT_S
            raise
        if trio.current_time() - started_at < CALL_TIMEOUT_S:
            self._listing_timeout_s = CALL_TIMEOUT_S
        return reply

    async def watch(self, revision, wait_s):
        """Return the changes after a revision, waiting for the first."""
        wait_ms = int(wait_s * 1000)
        return await self._watch('', revision, wait_ms, item.Source.WATCH)

    async def read_changes(self, key, revision):
        """Return the changes of a key after a revision, at once."""
        return await self._watch(
            key, revision, NO_WAIT_MS, item.Source.CONFIRMATION
        )

    async def _watch(self, prefix, revision, wait_ms, source):
        query = {
            'prefix': prefix,
            'after': revision.number,
            'wait_ms': wait_ms,
        }
        reply = await self._call(
            b'GET', '/v1/kv-watch', query, timeout_s=math.inf
        )
        if reply.status == 410:
            raise errors.HistoryGoneError(f'revision {revision}')
        changes = _decode(reply, _watch_decoder)
        era = self._read_era(reply)
        return item.Page(
            _to_items(changes.events, era, source),
            item.Revision(era, changes.current_rev),
        )

    async def open_lease(self, ttl_s):
        """Return a new Lease that ends after ``ttl_s`` seconds."""
        body = {'ttl_ms': int(ttl_s * 1000)}
        reply = await self._call(b'POST', '/v1/kv-lease', body=body)
        id_ = _decode(reply, _lease_decoder).lease
        return item.Lease(id_, self._read_era(reply))

    async def renew_lease(self, lease):
        """Renew a lease for another time to live."""
        reply = await self._call(b'POST', f'/v1/kv-keep/{lease.id}', body={})
        self._check_lease(reply, lease)

    async def end_lease(self, lease):
        """End a lease, which removes its keys."""
        reply = await self._call(b'DELETE', f'/v1/kv-lease-end/{lease.id}')
        self._check_lease(reply, lease)

    async def put(self, key, value, lease):
        """Write a key that lives as long as a lease."""
        put = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': lease.id,
        }
        body = {'if_rev': [], 'puts': [put], 'remove': []}
        reply = await self._call(b'POST', '/v1/kv-txn', body=body)
        self._check_lease(reply, lease)

    async def compare_and_put(self, values, revisions):
        """Write several keys if none of them has changed.

        :param values: bytes by key.
        :param revisions: expected Revision by key; NO_REVISION for a key
            that must not exist.
        :returns: whether they were written.
        :raises StoreUnavailableError: if the store does not tell.
        """
        body = {
            'if_rev': [
                {'key': key, 'rev': revision.number}
                for key, revision in revisions.items()
            ],
            'puts': [
                {'key': key, 'value': base64.b64encode(value).decode()}
                for key, value in values.items()
            ],
            'remove': [],
        }
        reply = await self._call(b'POST', '/v1/kv-txn', body=body)
        self._read_era(reply)
        if reply.status == 412:
            return False
        if reply.status not in (200, 204):
            raise errors.StoreUnavailableError(f'status {reply.status}')
        return True

    def _check_lease(self, reply, lease):
        """Check a reply to a call that names a lease.

        :raises LeaseEndedError: if the lease, or its era, has ended.
        :raises StoreUnavailableError: if the call failed.
        """
        era = self._read_era(reply)
        if reply.status == 404 or era != lease.era:
            raise errors.LeaseEndedError(f'{lease}, era is {era}')
        if reply.status not in (200, 204):
            raise errors.StoreUnavailableError(f'status {reply.status}')

    def _read_era(self, reply):
        """Return the era that a reply names, or that of the one before."""
        era = decoding.decode_digits(reply.header(_ERA))
        if era is not None:
            self._era = era
        return self._era

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


def _to_items(wire_items, era, source):
    return tuple(
        item.Item(
            i.key,
            item.Revision(era, i.rev),
            _decode_value(i.value),
            i.removed,
            source,
        )
        for i in wire_items
    )


def _decode_value(text):
    try:
        return base64.b64decode(text)
    except ValueError:
        # The decoder of the key's value reports it as invalid.
        return text.encode()


def _decode(reply, decoder):
    """Return the message in a successful reply.

    :raises StoreUnavailableError: if the reply is none.
    """
    if reply.status != 200:
        raise errors.StoreUnavailableError(f'status {reply.status}')
    try:
        return decoding.decode(decoder, reply.body)
    except ValueError as exc:
        raise errors.StoreUnavailableError(f'invalid reply: {exc}') from exc
