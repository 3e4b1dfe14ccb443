"""The platform's metadata store."""

import asyncio
import base64
import copy
import json
import time
import urllib.parse

from standin import wire

PAGE_ITEMS = 500
EXPIRY_INTERVAL_S = 0.2


class Store:
    """Keeps keys with revisions and leases, and serves them.

    While ``is_silent`` holds, a call gets no answer, then or later, and
    neither does any other call on its connection. Calls that wait when the
    silence begins get none either. While ``is_busy`` holds, calls are answered
    503. ``era`` rises by one when the store is restored from a copy.
    """

    def __init__(self):
        self.is_silent = False
        self.is_busy = False
        self.era = 1
        self.calls = 0
        self._revision = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._last_lease = 0
        self._silences = 0
        self._changed = asyncio.Event()

    async def start(self, host):
        """Serve; return the address as text."""
        self._expiry = asyncio.create_task(self._expire_leases())
        self._server, port = await wire.serve(self._serve, host)
        return f'{host}:{port}'

    def set_silent(self, is_silent):
        """Begin or end a time in which no call is answered."""
        self.is_silent = is_silent
        self._silences += is_silent

    def make_copy(self):
        """Return a copy of the keys and leases for ``restore``."""
        return copy.deepcopy((self._revision, self._items, self._leases))

    def restore(self, older):
        """Go back to a copy; revisions are given out again from there."""
        self._revision, self._items, self._leases = copy.deepcopy(older)
        self._events = [e for e in self._events if e['rev'] <= self._revision]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key, and return the revision."""
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self._revision,
            'create_rev': old['create_rev'] if old else self._revision,
            'lease': lease,
        }
        self._add_event(self._items[key])
        return self._revision

    def put_json(self, key, value):
        """Write a key with a JSON document."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event(
                {'key': key, 'rev': self._revision, 'removed': True}
            )

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            for lease, (end_at, _) in list(self._leases.items()):
                if end_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        for key, item in list(self._items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    async def _serve(self, reader, writer):
        while (request := await wire.read(reader)) is not None:
            self.calls += 1
            silences = self._silences
            status, body = await self._answer(request)
            if self.is_silent or silences != self._silences:
                await reader.read()
                return
            headers = {
                'Content-Type': 'application/json',
                'Store-Era': self.era,
            }
            data = json.dumps(body).encode()
            writer.write(wire.encode(f'HTTP/1.1 {status} .', headers, data))
            await writer.drain()

    async def _answer(self, request):
        if self.is_silent or self.is_busy:
            return 503, {}
        path, _, query = request.start[1].partition('?')
        fields = dict(urllib.parse.parse_qsl(query, True))
        body = json.loads(request.body) if request.body else {}
        last = path.rpartition('/')[2]
        if path == '/v1/kv-range':
            return self._list(fields)
        if path == '/v1/kv-watch':
            return await self._watch(fields)
        if path == '/v1/kv-txn':
            return self._write(body)
        if path == '/v1/kv-lease':
            self._last_lease += 1
            self._renew(self._last_lease, body['ttl_ms'] / 1000)
            return 200, {'lease': self._last_lease, 'ttl_ms': body['ttl_ms']}
        if path.startswith('/v1/kv-keep/'):
            if int(last) not in self._leases:
                return 404, {}
            self._renew(int(last), self._leases[int(last)][1])
            return 200, {}
        if path.startswith('/v1/kv-lease-end/'):
            return 200 if self._end_lease(int(last)) else 404, {}
        return 404, {}

    def _renew(self, lease, ttl_s):
        self._leases[lease] = time.monotonic() + ttl_s, ttl_s

    def _list(self, fields):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields['prefix'])
            and key > fields.get('after', '')
        )
        return 200, {
            'items': [self._items[key] for key in keys[:PAGE_ITEMS]],
            'has_more': len(keys) > PAGE_ITEMS,
            'current_rev': self._revision,
        }

    async def _watch(self, fields):
        after = int(fields['after'])
        if after > self._revision:
            return 410, {}
        end_at = time.monotonic() + int(fields['wait_ms']) / 1000
        era = self.era
        while self._revision <= after and time.monotonic() < end_at:
            try:
                async with asyncio.timeout(end_at - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                break
            if self.era != era and after > self._revision:
                return 410, {}
        events = [
            event
            for event in self._events
            if event['rev'] > after
            and event['key'].startswith(fields['prefix'])
        ]
        return 200, {'events': events, 'current_rev': self._revision}

    def _write(self, body):
        puts = body.get('puts', [])
        keys = [put['key'] for put in puts] + body.get('remove', [])
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        if any(p['lease'] and p['lease'] not in self._leases for p in puts):
            return 404, {}
        rows = body.get('if_rev', [])
        current = [self._items.get(row['key']) for row in rows]
        if any(
            (item['rev'] if item else 0) != row['rev']
            for row, item in zip(rows, current, strict=True)
        ):
            return 412, {'items': [item for item in current if item]}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put['lease'])
        for key in body.get('remove', []):
            self.remove(key)
        return 200, {'rev': self._revision}
