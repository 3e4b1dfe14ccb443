"""Stand-ins for all targets of a sheet, each on its own port.

Usage: python -m standins.targets --sheet FILE --control-port PORT
"""

import dataclasses
import functools
import json
import pathlib

import fire
import trio

from savorycross.sheet import check
from standins import http_server
from standins import target_model


class TargetServer:
    """Serves one TargetModel over HTTP."""

    def __init__(self, model, host, port):
        self.model = model
        self._address = (host, port)
        self._scope = None

    async def run(self):
        """Serve until cancelled; a restart closes all connections."""
        while True:
            with trio.CancelScope() as self._scope:
                await trio.serve_tcp(
                    self._serve, self._address[1], host=self._address[0]
                )

    def restart(self):
        """Close all connections and restart cold."""
        self.model.restart()
        self._scope.cancel()

    async def _serve(self, stream):
        await http_server.serve_stream(stream, self._handle)

    async def _handle(self, request):
        model = self.model
        model.stated_rate.count(trio.current_time())
        attempt = request.headers.get(b'x-attempt', b'')
        if request.path == '/v1/inventory':
            body = json.dumps(model.inventory()).encode()
            return self._response(200, body, attempt)
        fields = json.loads(request.body)
        if request.path == '/v1/cancel':
            model.cancel(fields['attempt'])
            return self._response(200, b'{}', attempt)
        if request.path == '/v1/search':
            answer = await model.search(fields)
        else:
            answer = await model.book(fields)
        return self._to_response(answer, attempt)

    def _to_response(self, answer, attempt):
        if answer.lost:
            return http_server.Response(0, cut=-1)
        if answer.crossed:
            attempt = b'other.1'
        response = self._response(answer.code, answer.body, attempt)
        if answer.cut:
            response.cut = len(answer.body) // 2
        return response

    def _response(self, code, body, attempt):
        headers = {
            b'x-attempt': attempt,
            b'x-boot': self.model.boot.encode(),
            b'x-phase': b'warm' if self.model.warm else b'cold',
        }
        rate_per_s = self.model.stated_rate.rate_per_s
        if rate_per_s is not None:
            headers[b'x-rate-limit'] = b'%.3f' % rate_per_s
        return http_server.Response(code, body, headers)


class Control:
    """Controls the targets' faults and reports their records."""

    def __init__(self, servers):
        self._servers = servers

    async def handle(self, request):
        """Answer a control request of a test, a benchmark or the demo."""
        if request.path == '/record':
            return self._record()
        command = json.loads(request.body)
        for server in self._select(command.get('targets', '*')):
            self._apply(server, command)
        return http_server.Response(200, b'{}')

    def _select(self, names):
        if names == '*':
            return list(self._servers.values())
        return [self._servers[n] for n in names]

    def _apply(self, server, command):
        model = server.model
        for name, value in command.get('faults', {}).items():
            setattr(model.faults, name, value)
        for name in command.get('do', ()):
            if name == 'restart':
                server.restart()
            elif name in ('fall_cold', 'warm_up'):
                getattr(model, name)()
            elif name in ('drain', 'undrain'):
                model.draining = name == 'drain'
        if 'rate_per_s' in command:
            model.stated_rate.begin(command['rate_per_s'], trio.current_time())
        if 'split' in command:
            model.split(**command['split'])
        if 'versions' in command:
            _set_versions(model, command['versions'])

    def _record(self):
        report = {
            name: dataclasses.asdict(s.model.record)
            | {
                'warm': s.model.warm,
                'boot': s.model.boot,
                'worst_rate_ratio': s.model.stated_rate.worst_ratio(
                    trio.current_time()
                ),
            }
            for name, s in self._servers.items()
        }
        for item in report.values():
            item['last_started'] = max(item['last_started'], -1e18)
        report = {'now': trio.current_time(), 'targets': report}
        return http_server.Response(200, json.dumps(report).encode())


def _set_versions(model, versions):
    """Replace the index versions under the present shard maps."""
    shard_maps = {
        epoch: held_shards
        for (_, epoch), held_shards in model.holdings.items()
    }
    model.holdings = {
        (version, epoch): held_shards
        for epoch, held_shards in shard_maps.items()
        for version in versions
    }


def make_models(catalogue, timing=None, seed=0, versions=(1,)):
    """Return a TargetModel for each declared target, by name."""
    models = {}
    for target in catalogue.targets:
        service = catalogue.service_by_name[target.service]
        held_shards = (service.shards, target.shards)
        models[target.name] = target_model.TargetModel(
            target.name,
            target.service,
            {(v, service.epoch): held_shards for v in versions},
            target.slots,
            target.cold_slots,
            timing,
            seed,
        )
    return models


async def serve(
    catalogue,
    control_port,
    timing=None,
    warm=False,
    seed=0,
    host='127.0.0.1',
):
    """Serve all targets of a catalogue until cancelled."""
    models = make_models(catalogue, timing, seed)
    servers = {}
    async with trio.open_nursery() as nursery:
        for target in catalogue.targets:
            model = models[target.name]
            if warm:
                model.warm_up()
            server = TargetServer(model, target.host, target.port)
            servers[target.name] = server
            nursery.start_soon(server.run)
        control = Control(servers)
        await trio.serve_tcp(
            functools.partial(http_server.serve_stream, handle=control.handle),
            control_port,
            host=host,
        )


def main(
    sheet,
    control_port,
    median_ms=4.0,
    warm=False,
    seed=0,
    host='127.0.0.1',
):
    """Serve all targets of a sheet.

    :param sheet: path of the sheet.
    :param control_port: port of the control interface on loopback.
    :param median_ms: median service time of a warm target in milliseconds.
    :param warm: whether the targets start with warm caches.
    :param seed: seed of the service times.
    :param host: loopback address of the control interface.
    """
    catalogue = check.check(pathlib.Path(sheet).read_bytes())
    timing = target_model.Timing(median_s=median_ms / 1000)
    trio.run(serve, catalogue, control_port, timing, warm, seed, host)


if __name__ == '__main__':
    fire.Fire(main)
