"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import copy
import dataclasses
import json
import time
import urllib.parse

import http_wire

PAGE_ITEMS = 50
EXPIRY_INTERVAL_S = 0.1


@dataclasses.dataclass
class Item:
    """A key's value, revisions and lease."""

    value: bytes
    rev: int
    create_rev: int
    lease: int = 0


class Store:
    """Keys with revisions, leases and history, served over HTTP.

    ``mode`` is 'ok', 'busy' (503), 'silent' (no answer) or 'reset'.
    """

    def __init__(self, record):
        self.mode = 'ok'
        self.era = 1
        self.revision = 1
        self.items = {}
        self.address = None
        self._record = record
        self._leases = {}
        self._next_lease = 1
        self._events = []
        self._changed = asyncio.Event()
        self._writers = set()
        self._silent = set()
        self._copies = []

    async def start(self, host):
        """Listen on a free port of a host."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self._expire_leases())

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        create_rev = known.create_rev if known else self.revision
        self.items[key] = Item(value, self.revision, create_rev, lease)
        self._add_event(self._describe(key))

    def remove(self, key):
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event({'key': key, 'rev': self.revision, 'removed': True})

    def set_mode(self, mode):
        """Change how calls are treated, also those that wait."""
        self.mode = mode
        self._record('store', mode)
        if mode != 'ok':
            for writer in list(self._writers):
                writer.transport.abort()
        self._signal()

    def silence_connections(self):
        """Let all open connections go silent for good; new ones work."""
        self._silent.update(self._writers)
        self._record('store', len(self._silent), 'connections silent')

    def make_copy(self):
        """Return a copy for ``restore``."""
        return copy.deepcopy(
            (self.revision, self.items, self._leases, self._next_lease)
        )

    def restore(self, older):
        """Come back from a copy; its revisions are given out again."""
        self.revision, self.items, self._leases, self._next_lease = older
        self.era += 1
        self._events = [e for e in self._events if e['rev'] <= self.revision]
        self._record('store', f'restored, era {self.era}')
        self._signal()

    def _describe(self, key):
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'rev': item.rev,
            'create_rev': item.create_rev,
            'lease': item.lease,
        }

    def _add_event(self, event):
        self._events.append(event)
        self._signal()

    def _signal(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            # Leases pause while the store is down.
            if self.mode != 'ok':
                shift = EXPIRY_INTERVAL_S
                self._leases = {
                    k: (end + shift, ttl)
                    for k, (end, ttl) in self._leases.items()
                }
                continue
            now = time.monotonic()
            for lease, (end, _) in list(self._leases.items()):
                if end <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)
        return True

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await http_wire.read_message(reader)
                if request is None:
                    return
                if self.mode == 'silent' or writer in self._silent:
                    await asyncio.sleep(3600)
                if self.mode == 'reset':
                    writer.transport.abort()
                    return
                status, body = 503, {}
                if self.mode == 'ok':
                    status, body = await self._call(request)
                if writer in self._silent:
                    await asyncio.sleep(3600)
                writer.write(
                    http_wire.encode(
                        f'HTTP/1.1 {status} X',
                        [
                            ('Content-Type', 'application/json'),
                            ('Store-Era', self.era),
                        ],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (http_wire.WireError, ConnectionError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _call(self, request):
        method, target, _ = request.start
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, True))
        body = json.loads(request.body) if request.body else {}
        if path == '/v1/kv-key':
            key = fields['key']
            if key not in self.items:
                return 404, {'current_rev': self.revision}
            return 200, self._describe(key) | {'current_rev': self.revision}
        if path == '/v1/kv-range':
            return 200, self._range(fields)
        if path == '/v1/kv-watch':
            return await self._watch(fields)
        if path == '/v1/kv-txn':
            return self._write(body)
        if path == '/v1/kv-lease':
            lease = self._next_lease
            self._next_lease += 1
            ttl_s = body['ttl_ms'] / 1000
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'lease': lease, 'ttl_ms': body['ttl_ms']}
        if path.startswith('/v1/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'ttl_ms': int(ttl_s * 1000)}
        if path.startswith('/v1/kv-lease-end/'):
            ended = self._end_lease(int(path.rpartition('/')[2]))
            return (200 if ended else 404), {}
        return 404, {}

    def _range(self, fields):
        keys = sorted(
            k
            for k in self.items
            if k.startswith(fields['prefix']) and k > fields.get('after', '')
        )
        return {
            'items': [self._describe(k) for k in keys[:PAGE_ITEMS]],
            'has_more': len(keys) > PAGE_ITEMS,
            'current_rev': self.revision,
        }

    async def _watch(self, fields):
        after = int(fields['after'])
        end_at = time.monotonic() + int(fields['wait_ms']) / 1000
        era = self.era
        while True:
            if self.mode == 'busy':
                return 503, {}
            if after > self.revision or self.era != era:
                return 410, {}
            events = [
                e
                for e in self._events
                if e['rev'] > after and e['key'].startswith(fields['prefix'])
            ]
            left_s = end_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _write(self, body):
        puts, removed = body.get('puts', []), body.get('remove', [])
        keys = [p['key'] for p in puts] + removed
        if any(k.startswith(('op/', 'servers/')) for k in keys):
            return 403, {}
        for row in body.get('if_rev', []):
            item = self.items.get(row['key'])
            if (item.rev if item else 0) != row['rev']:
                return 412, {'items': []}
        for put in puts:
            lease = put.get('lease', 0)
            if lease and lease not in self._leases:
                return 404, {}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease', 0))
        for key in removed:
            self.remove(key)
        return 200, {'rev': self.revision}
