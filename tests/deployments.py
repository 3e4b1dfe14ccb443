"""Small deployments on the paused clock, shared by tests."""

import contextlib

import msgspec
import trio

from examples import make_sheets
from savorycross.booking import desk
from savorycross.catalogue import keeper
from savorycross.entry import request
from savorycross.sheet import check
from savorycross.sheet import publish
from standins import fabric as fabrics
from standins import platform_model
from standins import targets as target_servers

CENTRES = ('north', 'middle', 'south')


def make_sheet(services=2, slots=4, cold_slots=1, extra=(), shards=3):
    """Return the bytes of a sheet: services of three replicas each."""
    lines = [{'kind': 'data_centre', 'name': c} for c in CENTRES]
    port = 30000
    for number in range(1, services + 1):
        name = f'svc-{number}'
        lines.append(
            {'kind': 'service', 'name': name, 'index': 'idx', 'shards': shards}
        )
        for place, centre in enumerate(CENTRES):
            port += 1
            lines.append(
                {
                    'kind': 'target',
                    'name': f'{name}-{centre}',
                    'service': name,
                    'replica_set': name,
                    'data_centre': centre,
                    'address': f'127.0.0.1:{port}',
                    'shards': ' '.join(map(str, range(shards))),
                    'slots': slots,
                    'connections': 20,
                    'cold_slots': cold_slots,
                }
            )
    lines.append(_workload('find', 'query', 1, 1000))
    lines.append(_workload('check', 'query', 0, 500))
    lines.append(_workload('report', 'query', 3, 2000))
    lines.append(_workload('book', 'booking', 0, 1000))
    return make_sheets.to_bytes([*lines, *extra])


def _workload(name, kind, priority, deadline_ms):
    return {
        'kind': 'workload',
        'name': name,
        'type': kind,
        'index': 'idx',
        'priority': priority,
        'deadline_ms': deadline_ms,
    }


@contextlib.asynccontextmanager
async def open_deployment(
    sheet=None, instances=4, warm=True, timing=None, settle_s=4.0, **options
):
    """Run a deployment; yield its Fabric once it has settled."""
    catalogue = check.check(sheet or make_sheet())
    models = target_servers.make_models(catalogue, timing, seed=1)
    for model in models.values():
        model.warm = warm
    platform = platform_model.PlatformModel()
    async with trio.open_nursery() as nursery:
        fabric = fabrics.Fabric(platform, models, nursery, **options)
        nursery.start_soon(fabric.line.run)
        await apply(fabric, catalogue)
        names = [f'entry-{n + 1}' for n in range(instances)]
        for number, name in enumerate(names):
            seeds = [n for n in names if n != name]
            fabric.start(name, CENTRES[number % 3], seeds=seeds)
        await trio.sleep(settle_s)
        yield fabric
        nursery.cancel_scope.cancel()


async def apply(fabric, catalogue, author='operator', options=None):
    """Publish a catalogue and return the Accepted."""
    return await publish.publish(
        fabric.platform,
        catalogue,
        author,
        f'{author}-{trio.current_time()}',
        options or publish.PublishOptions(allow_shrink=True),
        fabric.wall(),
        lambda made: announce(fabric, made),
    )


async def announce(fabric, made):
    """Hand a landed catalogue to the first instance."""
    await trio.sleep(0.002)
    for found in list(fabric.instances.values())[:1]:
        found.announced(keeper.encode_compressed(made))


async def apply_sheet(fabric, sheet, **options):
    """Publish a sheet."""
    return await apply(fabric, check.check(sheet), **options)


async def query(fabric, entry='entry-1', workload='find', **fields):
    """Return the QueryAnswer of an instance."""
    asked = request.QueryRequest(workload=workload, **fields)
    found = fabric.instances[entry]
    return await found.queries.query(
        fabric.next_request_id(), asked, 'caller-1'
    )


async def book(fabric, entry='entry-1', ticket='', key='', allowed_s=1.0):
    """Return the Result of a booking through an instance."""
    found = fabric.instances[entry]
    booking = desk.Booking(
        request_id=fabric.next_request_id(),
        workload='book',
        key=key,
        payload=b'{}',
        deadline=trio.current_time() + allowed_s,
    )
    return await found.bookings.book(booking, ticket)


def bookings_run(fabric):
    """Return the request ids of bookings that targets ran."""
    return [b for t in fabric.targets.values() for b in t.record.bookings]


def versions_in(answer):
    """Return the index versions of an answer's records."""
    return {msgspec.json.decode(r.fields['version']) for r in answer.records}


async def wait_until(condition, limit_s=20.0):
    """Wait on the test's clock until a condition holds."""
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(0.05)
