"""Small simulated deployments on a paused clock, for tests."""

import contextlib

import msgspec
import trio

from examples import make_sheets
from savorycross.booking import coordinator
from savorycross.catalogue import keeper
from savorycross.entry import request
from savorycross.sheet import check
from savorycross.sheet import publish
from standins import fabric as fabrics
from standins import platform_model
from standins import targets as target_servers

DATA_CENTRES = ('north', 'middle', 'south')


def make_sheet(
    services=2,
    slots=4,
    cold_slots=1,
    extra=(),
    shards=3,
    host='127.0.0.1',
):
    """Return the bytes of a sheet whose services have three replicas each.

    :param services: number of services.
    :param slots: slots of a warm target.
    :param cold_slots: slots of a cold target.
    :param extra: further rows, as dictionaries.
    :param shards: number of shards of each service.
    :param host: IP address of the targets.
    """
    rows = [{'kind': 'data_centre', 'name': c} for c in DATA_CENTRES]
    port = 30000
    for number in range(1, services + 1):
        name = f'svc-{number}'
        rows.append(
            {'kind': 'service', 'name': name, 'index': 'idx', 'shards': shards}
        )
        for place, data_centre in enumerate(DATA_CENTRES):
            port += 1
            rows.append(
                {
                    'kind': 'target',
                    'name': f'{name}-{data_centre}',
                    'service': name,
                    'replica_set': name,
                    'data_centre': data_centre,
                    'address': f'{host}:{port}',
                    'shards': ' '.join(map(str, range(shards))),
                    'slots': slots,
                    'connections': 20,
                    'cold_slots': cold_slots,
                }
            )
    rows.append(_workload('find', 'query', 1, 1000))
    rows.append(_workload('check', 'query', 0, 500))
    rows.append(_workload('report', 'query', 3, 2000))
    rows.append(_workload('book', 'booking', 0, 1000))
    return make_sheets.to_bytes([*rows, *extra])


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
    """Run a deployment and yield its Fabric.

    :param sheet: bytes of a sheet; by default those of ``make_sheet``.
    :param instances: number of instances.
    :param warm: whether the targets are warm at first.
    :param timing: timing of the targets, or None for the default.
    :param settle_s: time from the start of the instances until the Fabric is
        yielded, in seconds.
    :param options: further arguments of Fabric.
    """
    catalogue = check.check(sheet or make_sheet())
    models = target_servers.make_models(catalogue, timing, seed=1)
    for model in models.values():
        model.warm = warm
    platform = platform_model.PlatformModel()
    async with trio.open_nursery() as nursery:
        fabric = fabrics.Fabric(platform, models, nursery, **options)
        nursery.start_soon(fabric.delayed_calls.run)
        await apply_catalogue(fabric, catalogue)
        names = [f'entry-{n + 1}' for n in range(instances)]
        for number, name in enumerate(names):
            seeds = [n for n in names if n != name]
            fabric.start(name, DATA_CENTRES[number % 3], seeds=seeds)
        await trio.sleep(settle_s)
        yield fabric
        nursery.cancel_scope.cancel()


async def apply_catalogue(fabric, catalogue, author='operator', options=None):
    """Publish a catalogue; return the Accepted."""
    return await publish.publish(
        fabric.platform,
        catalogue,
        author,
        f'{author}-{trio.current_time()}',
        options or publish.PublishOptions(allow_shrink=True),
        fabric.wall(),
        lambda accepted_catalogue: announce(fabric, accepted_catalogue),
    )


async def announce(fabric, accepted_catalogue):
    """Send a committed catalogue to the first instance."""
    await trio.sleep(0.002)
    for instance in list(fabric.instances.values())[:1]:
        instance.adopt_announced_catalogue(
            keeper.encode_compressed(accepted_catalogue)
        )


async def apply_sheet(fabric, sheet, **options):
    """Publish a sheet; return the Accepted."""
    return await apply_catalogue(fabric, check.check(sheet), **options)


async def query(fabric, instance_name='entry-1', workload='find', **fields):
    """Send a query to an instance; return its QueryAnswer."""
    query_request = request.QueryRequest(workload=workload, **fields)
    instance = fabric.instances[instance_name]
    return await instance.queries.query(
        fabric.next_request_id(), query_request, 'caller-1'
    )


async def book(
    fabric, instance_name='entry-1', ticket='', key='', timeout_s=1.0
):
    """Book through an instance; return the Result.

    :param timeout_s: time until the deadline, in seconds.
    """
    instance = fabric.instances[instance_name]
    booking = coordinator.Booking(
        request_id=fabric.next_request_id(),
        workload='book',
        key=key,
        payload=b'{}',
        deadline=trio.current_time() + timeout_s,
    )
    return await instance.bookings.book(booking, ticket)


def bookings_run(fabric):
    """Return the request ids of the bookings that targets have run."""
    return [b for t in fabric.targets.values() for b in t.record.bookings]


def versions_in(answer):
    """Return the index versions of an answer's records."""
    return {msgspec.json.decode(r.fields['version']) for r in answer.records}


async def wait_until(condition, limit_s=20.0):
    """Wait until a condition holds.

    :param condition: callable that returns whether it holds.
    :param limit_s: time on the test's clock after which the wait fails, in
        seconds.
    """
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(0.05)
