"""A stand-in for the platform's key-value service.

Usage: python -m standins.platform --port PORT [--instances LIST]
"""

import base64
import dataclasses
import functools
import json

import fire
import trio

from savorycross import errors
from savorycross.store import protocol
from standins import http_server
from standins import platform_model


class PlatformServer:
    """Serves a PlatformModel over HTTP."""

    def __init__(self, model):
        self.model = model

    async def handle(self, request):
        """Answer a request.

        :param request: http_server.Request.
        :returns: http_server.Response.
        """
        if request.path == '/control':
            return self._control(json.loads(request.body))
        try:
            answer = await self._answer(request)
            answer.headers[b'X-Era'] = b'%d' % self.model.era
            return answer
        except errors.StoreConflictError:
            return http_server.Response(409, b'{}')
        except errors.StoreUnavailableError:
            return http_server.Response(0, cut=-1)

    async def _answer(self, request):
        if request.path == '/v1/instances':
            return await self._list_instances()
        key = request.path.removeprefix('/v1/kv/')
        if request.method == 'PUT':
            body = json.loads(request.body)
            entry = await self.model.put(
                key,
                base64.b64decode(body['value']),
                body['revision'],
                body['ttl'],
            )
            return _entry_response(entry)
        if 'wait' in request.query:
            entry = await self.model.watch(
                key,
                int(request.query['after']),
                float(request.query['wait']),
            )
            return _entry_response(entry)
        return _entry_response(await self.model.get(key))

    async def _list_instances(self):
        listed = await self.model.instances()
        leaving = sorted(await self.model.targets_leaving())
        body = {
            'instances': [dataclasses.asdict(i) for i in listed],
            'targets_leaving': leaving,
        }
        return http_server.Response(200, json.dumps(body).encode())

    def _control(self, command):
        for name, value in command.get('faults', {}).items():
            setattr(self.model.faults, name, value)
        if 'expire' in command:
            self.model.expire(command['expire'])
        if 'leaving' in command:
            self.model.leaving_targets = command['leaving']
        if 'instances' in command:
            self.model.listed = [
                protocol.ListedInstance(**i) for i in command['instances']
            ]
        body = json.dumps({'calls': dict(self.model.calls)})
        return http_server.Response(200, body.encode())


def _entry_response(entry):
    if not entry.revision:
        return http_server.Response(404, b'{}')
    body = {
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
    }
    return http_server.Response(200, json.dumps(body).encode())


async def serve(model, port, host='127.0.0.1'):
    """Serve a model until cancelled."""
    server = PlatformServer(model)
    await trio.serve_tcp(
        functools.partial(http_server.serve_stream, handle=server.handle),
        port,
        host=host,
    )


def main(port, instances='[]', host='127.0.0.1'):
    """Serve an empty key-value service.

    :param port: port on loopback.
    :param instances: JSON array of the listed instances.
    :param host: loopback address.
    """
    if not isinstance(instances, str):
        instances = json.dumps(instances)
    model = platform_model.PlatformModel()
    model.listed = [
        protocol.ListedInstance(**i) for i in json.loads(instances)
    ]
    trio.run(serve, model, port, host)


if __name__ == '__main__':
    fire.Fire(main)
