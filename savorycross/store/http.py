"""A client of the platform's key-value service over HTTP with JSON."""

import base64
import urllib.parse

import httpcore
import msgspec
import trio

from savorycross import decoding
from savorycross import errors
from savorycross.store import protocol

CALL_TIMEOUT_S = 2.0


class _EntryBody(msgspec.Struct):
    value: str = ''
    revision: int = 0


class _ListingBody(msgspec.Struct):
    instances: list[protocol.ListedInstance] = []
    targets_leaving: list[str] = []


_entry_decoder = msgspec.json.Decoder(_EntryBody)
_listing_decoder = msgspec.json.Decoder(_ListingBody)


class HttpStore:
    """A client with the interface protocol.Store, over HTTP.

    :param address: host and port of the service.
    :param timeout_s: seconds to wait for a reply.
    """

    def __init__(self, address, timeout_s=CALL_TIMEOUT_S):
        self._base_url = f'http://{address[0]}:{address[1]}'
        self._timeout_s = timeout_s
        self.era = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=16, keepalive_expiry=20
        )

    async def get(self, key):
        """Return the Entry of a key, or ABSENT."""
        status, body = await self._call('GET', self._format_key_path(key))
        return self._decode_entry(status, body)

    async def put(self, key, value, revision, ttl=0):
        """Write a value if the key has the expected revision."""
        body = {
            'value': base64.b64encode(value).decode(),
            'revision': revision,
            'ttl': ttl,
        }
        status, data = await self._call(
            'PUT', self._format_key_path(key), body
        )
        if status == 409:
            raise errors.StoreConflictError(
                f'key {key!r} does not have revision {revision}'
            )
        return self._decode_entry(status, data)

    async def watch(self, key, revision, timeout):
        """Wait until the revision of a key differs, and return its Entry."""
        path = f'{self._format_key_path(key)}?after={revision}&wait={timeout}'
        status, body = await self._call('GET', path, extra_timeout_s=timeout)
        return self._decode_entry(status, body)

    async def instances(self):
        """Return the platform's list of live instances, which lags behind."""
        return (await self._get_listing()).instances

    async def targets_leaving(self):
        """Return the names of targets that the platform lists as leaving."""
        return frozenset((await self._get_listing()).targets_leaving)

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def _get_listing(self):
        status, body = await self._call('GET', '/v1/instances')
        if status != 200:
            raise errors.StoreUnavailableError(
                f'list of instances: HTTP status {status}'
            )
        return decoding.decode(_listing_decoder, body)

    def _format_key_path(self, key):
        return '/v1/kv/' + urllib.parse.quote(key, safe='')

    def _decode_entry(self, status, body):
        if status == 404:
            return protocol.ABSENT
        if status != 200:
            raise errors.StoreUnavailableError(
                f'key-value service: HTTP status {status}'
            )
        entry = decoding.decode(_entry_decoder, body)
        value = base64.b64decode(entry.value)
        return protocol.Entry(value=value, revision=entry.revision)

    async def _call(self, method, path, body=None, extra_timeout_s=0.0):
        """Send a request with a JSON body and return its reply.

        :param extra_timeout_s: seconds to wait in addition to the timeout
            of each call.
        :returns: the HTTP status and the body.
        """
        content = b'' if body is None else msgspec.json.encode(body)
        headers = [('Host', 'platform'), ('Content-Type', 'application/json')]
        try:
            with trio.fail_after(self._timeout_s + extra_timeout_s):
                reply = await self._pool.request(
                    method,
                    self._base_url + path,
                    headers=headers,
                    content=content,
                )
        except (
            trio.TooSlowError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            raise errors.StoreUnavailableError(
                f'key-value service did not answer: {type(exc).__name__}'
            ) from exc
        self._read_era(reply.headers)
        return reply.status, reply.content

    def _read_era(self, headers):
        for name, value in headers:
            if name.lower() == b'x-era' and value.isdigit():
                self.era = int(value)
