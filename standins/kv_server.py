"""Serves a KvModel over the HTTP interface of the metadata store."""

import base64
import json
import urllib.parse

import trio

from savorycross.wire import messages
from savorycross.wire import server

MAX_ITEMS_PER_PAGE = 50
EXPIRY_INTERVAL_S = 0.2


class _RunningCall:
    """A call in progress."""

    def __init__(self):
        self.scope = trio.CancelScope()

    def cancel(self):
        """Stop the call."""
        self.scope.cancel()


class KvServer:
    """Serves the calls of instances.

    :param model: KvModel.
    :param nursery: nursery of the calls in progress.
    """

    def __init__(self, model, nursery):
        self.model = model
        self.is_busy = False
        self.delay_s = 0.0
        self.calls = 0
        self._nursery = nursery

    async def run(self, address):
        """Serve until cancelled."""
        self._nursery.start_soon(self._expire_leases)
        await server.Server(self.handle, self._nursery).run(address)

    def handle(self, request, respond):
        """Handle a call; see ``wire.server.Handler``."""
        self.calls += 1
        running = _RunningCall()
        self._nursery.start_soon(self._answer, request, respond, running)
        return running

    async def _expire_leases(self):
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self.model.expire(trio.current_time())

    async def _answer(self, request, respond, running):
        with running.scope:
            if self.delay_s:
                await trio.sleep(self.delay_s)
            if self.is_busy:
                era = (b'Store-Era', b'%d' % self.model.era)
                respond(messages.Reply(503, (era,)))
                return
            status, body = await self._call(request)
            data = json.dumps(body).encode()
            headers = (
                (b'Content-Type', b'application/json'),
                (b'Store-Era', b'%d' % self.model.era),
            )
            respond(messages.Reply(status, headers, data))

    async def _call(self, request):
        path, _, query = request.target.decode().partition('?')
        parameters = dict(urllib.parse.parse_qsl(query, True))
        body = json.loads(request.body) if request.body else {}
        now = trio.current_time()
        if path == '/v1/kv-range':
            return self._range(parameters)
        if path == '/v1/kv-watch':
            return await self._watch(parameters)
        if path == '/v1/kv-txn':
            return self._write(body)
        if path == '/v1/kv-lease':
            ttl_ms = body['ttl_ms']
            lease = self.model.open_lease(ttl_ms / 1000, now)
            return 200, {'lease': lease, 'ttl_ms': ttl_ms}
        if path.startswith('/v1/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            return (200 if self.model.renew_lease(lease, now) else 404), {}
        if path.startswith('/v1/kv-lease-end/'):
            lease = int(path.rpartition('/')[2])
            return (200 if self.model.end_lease(lease) else 404), {}
        return 404, {}

    def _range(self, parameters):
        after = parameters.get('after', '')
        keys = sorted(
            k
            for k in self.model.items
            if k.startswith(parameters['prefix']) and k > after
        )
        return 200, {
            'items': [
                self.model.describe(k) for k in keys[:MAX_ITEMS_PER_PAGE]
            ],
            'has_more': len(keys) > MAX_ITEMS_PER_PAGE,
            'current_rev': self.model.revision,
        }

    async def _watch(self, parameters):
        events = await self.model.watch(
            int(parameters['after']), int(parameters['wait_ms']) / 1000
        )
        if events is None:
            return 410, {}
        prefix = parameters['prefix']
        events = [e for e in events if e['key'].startswith(prefix)]
        return 200, {'events': events, 'current_rev': self.model.revision}

    def _write(self, body):
        puts = body.get('puts', [])
        if any(k['key'].startswith(('op/', 'servers/')) for k in puts):
            return 403, {}
        for put in puts:
            if not self.model.has_lease(put.get('lease', 0)):
                return 404, {}
        for condition in body.get('if_rev', []):
            item = self.model.items.get(condition['key'])
            if (item.rev if item else 0) != condition['rev']:
                return 412, {'items': []}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.model.put(put['key'], value, put.get('lease', 0))
        for key in body.get('remove', []):
            self.model.remove(key)
        return 200, {'rev': self.model.revision}
