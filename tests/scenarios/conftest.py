"""The steps of the scenario language."""

import datetime
import math

import pytest
import trio

from savorycross.booking import ledger
from savorycross import errors
from savorycross.sheet import publish
from standins import fabric as fabrics
from tests import deployments
from tests.scenarios import world as worlds

step = worlds.step
FULL = 1.0


@pytest.fixture
def script():
    """The steps noted so far."""
    return []


@step('given', 'a deployment of {count:d} instances')
async def _deployment(world, count):
    world.options['instances'] = count


@step('given', 'all targets are cold')
async def _cold(world):
    world.options['warm'] = False


@step('given', 'targets of {slots:d} slots that bear {cold:d} when cold')
async def _slots(world, slots, cold):
    world.sheet |= {'slots': slots, 'cold_slots': cold}


@step('given', 'a data centre {name} that is {state} from {a:d} s to {b:d} s')
async def _timed(world, name, state, a, b):
    """The times count from the start of the deployment."""
    start = trio.current_time() + fabrics.WALL_OFFSET_S
    row = _state_row(name, state)
    for column, seconds in (('begin', a), ('end', b)):
        when = datetime.datetime.fromtimestamp(
            math.ceil(start) + seconds, datetime.UTC
        )
        row[column] = when.strftime('%Y-%m-%dT%H:%M:%SZ')
    world.sheet['extra'] = [row]


@step('when', 'callers ask {rate:d} {workload} queries a second')
async def _load(world, rate, workload):
    world.nursery.start_soon(world.load, workload, rate)


@step('when', 'a caller asks a {workload} query through {entry}')
async def _query(world, workload, entry):
    await world.query(entry, workload)


@step('when', 'a caller begins a {workload} query through {entry}')
async def _begin(world, workload, entry):
    world.nursery.start_soon(world.query, entry, workload)


@step('when', 'the targets of {service} are {factor:d} times slower')
async def _slow(world, service, factor):
    for model in world.fabric.targets.values():
        if model.service == service:
            model.faults.slow_factor = factor


@step('when', '{seconds:g} seconds pass')
async def _pass(world, seconds):
    await trio.sleep(seconds)


@step('when', 'this is the moment "{mark}"')
async def _mark(world, mark):
    world.marks[mark] = trio.current_time()


@step('when', 'target {name} restarts')
async def _restart(world, name):
    world.fabric.restart_target(name)


@step('when', 'target {name} falls into a cold start without warning')
async def _fall(world, name):
    world.fabric.targets[name].fall_cold()


@step('when', 'target {name} freezes')
async def _freeze(world, name):
    world.fabric.targets[name].faults.frozen = True


@step('when', 'target {name} refuses all work')
async def _refuse(world, name):
    world.fabric.targets[name].faults.refuse = True


@step('when', 'target {name} loses every answer')
async def _drop(world, name):
    world.fabric.targets[name].faults.drop = 1.0


@step('when', 'all targets lose {percent:d} percent of their answers')
async def _drop_all(world, percent):
    for model in world.fabric.targets.values():
        model.faults.drop = percent / 100


@step('when', 'target {name} says that it is draining')
async def _drain(world, name):
    world.fabric.targets[name].draining = True


@step('when', 'the platform lists target {name} as leaving')
async def _list(world, name):
    world.fabric.platform.leaving_targets = [name]


@step('when', 'the targets hold index versions {versions}')
async def _versions(world, versions):
    for model in world.fabric.targets.values():
        _hold(model, versions)


@step('when', 'target {name} holds index versions {versions}')
async def _version(world, name, versions):
    _hold(world.fabric.targets[name], versions)


@step('when', 'the targets split {old:d} shards into {new:d} as epoch {n:d}')
async def _split(world, old, new, n):
    for model in world.fabric.targets.values():
        assert old == max(t for t, _ in model.holdings.values())
        model.split(new, n)


@step('when', 'instance {name} is killed')
async def _kill(world, name):
    world.fabric.kill(name)


@step('when', 'instance {name} leaves the view')
async def _leave(world, name):
    await world.fabric.instances[name].group.leave()
    await trio.sleep(0.5)


@step('when', 'instance {name} starts')
async def _start(world, name):
    world.fabric.start(name, 'north', seeds=list(world.fabric.instances))


@step('when', 'instance {name} is cut from all others')
async def _isolate(world, name):
    for other in list(world.fabric.instances):
        if other != name:
            world.fabric.cut(name, other)


@step('when', 'instance {first} is cut from {second}')
async def _cut(world, first, second):
    world.fabric.cut(first, second)


@step('when', 'all ways are mended')
async def _heal(world):
    world.fabric.heal()


@step('when', 'the platform goes down')
async def _down(world):
    world.fabric.platform.faults.down = True


@step('when', 'the platform comes back')
async def _up(world):
    world.fabric.platform.faults.down = False


@step('when', 'the platform loses the answer of the next {count:d} writes')
async def _lose(world, count):
    world.fabric.platform.faults.lose_writes = count


@step('when', '{author} takes {name} {state} by a sheet')
async def _apply(world, author, name, state):
    sheet = deployments.make_sheet(
        **world.sheet | {'extra': [_state_row(name, state)]}
    )
    await _publish(world, sheet, author)


@step('when', '{author} opens everything by a sheet')
async def _open(world, author):
    sheet = deployments.make_sheet(**world.sheet | {'extra': ()})
    await _publish(world, sheet, author)


@step('when', '{first} and {second} take {one} and {two} out at once')
async def _race(world, first, second, one, two):
    async with trio.open_nursery() as nursery:
        for author, name in ((first, one), (second, two)):
            sheet = deployments.make_sheet(
                **world.sheet | {'extra': [_state_row(name, 'out')]}
            )
            nursery.start_soon(_publish, world, sheet, author)


@step('when', 'a caller books by key {key} through {entry}')
async def _book(world, key, entry):
    await _keep_result(
        world, key, deployments.book(world.fabric, entry, key=key)
    )


@step('when', 'a caller takes ticket {name} from {entry}')
async def _ticket(world, name, entry):
    world.marks[name] = world.fabric.instances[entry].bookings.issue()


@step('when', 'a caller books with ticket {name} through {entry}')
async def _book_ticket(world, name, entry):
    call = deployments.book(world.fabric, entry, ticket=world.marks[name])
    await _keep_result(world, name, call)


@step('when', 'callers book {key} through {first} and {second} at once')
async def _book_race(world, key, first, second):
    async with trio.open_nursery() as nursery:
        for entry in (first, second):
            call = deployments.book(world.fabric, entry, key=key)
            nursery.start_soon(_keep_result, world, key, call)


@step('then', 'every answer comes from one snapshot')
async def _one_snapshot(world):
    answers = [s.answer for s in world.seen if s.answer is not None]
    assert answers
    for answer in answers:
        assert deployments.versions_in(answer) == {answer.snapshot.version}
        epochs = {int(r.id.split('/')[1]) for r in answer.records}
        assert epochs == {answer.snapshot.epoch}


@step('then', 'every answer states its coverage truly')
async def _true_coverage(world):
    assert world.seen
    for seen in world.seen:
        worlds.check_coverage(seen)


@step('then', 'every query since "{mark}" was answered in full')
async def _full(world, mark):
    found = world.since(mark)
    assert found
    bad = [s for s in found if s.coverage.ratio < FULL]
    assert not bad, [(s.at, s.error, s.coverage) for s in bad][:5]


@step('then', 'the last answer covers {answered:d} of {asked:d} shards')
async def _last(world, answered, asked):
    stated = world.seen[-1].coverage
    assert (stated.answered, stated.asked) == (answered, asked)


@step('then', 'the last answer names a cause for each missed shard')
async def _causes(world):
    stated = world.seen[-1].coverage
    assert len(stated.missed) == stated.asked - stated.answered > 0
    assert all(m.cause for m in stated.missed)


@step('then', 'the last answer is of version {version:d}')
async def _last_version(world, version):
    assert world.seen[-1].answer.snapshot.version == version


@step(
    'then', 'at least {percent:d} percent of queries since "{mark}" were full'
)
async def _mostly_full(world, percent, mark):
    found = world.since(mark)
    good = [s for s in found if s.coverage.ratio == FULL]
    assert len(good) >= len(found) * percent / 100, (len(good), len(found))


@step('then', 'no cold target has had more than it can bear')
async def _cold_bound(world):
    over = {
        n: t.record.cold_over
        for n, t in world.fabric.targets.items()
        if t.record.cold_over
    }
    assert not over


@step('then', 'target {name} has been warmed up')
async def _warmed(world, name):
    assert world.fabric.targets[name].warm


@step('then', 'target {name} has had work since "{mark}"')
async def _had_work(world, name, mark):
    record = world.fabric.targets[name].record
    assert record.last_started > world.marks[mark]


@step('then', '{name} had no new work later than {seconds:g} s after "{mark}"')
async def _no_work(world, name, seconds, mark):
    limit = world.marks[mark] + seconds
    assert trio.current_time() > limit
    catalogue = next(iter(world.fabric.instances.values())).catalogue
    late = [
        t.name
        for t in catalogue.targets
        if name in (t.name, t.data_centre)
        and world.fabric.targets[t.name].record.last_started > limit
    ]
    assert not late


@step('then', 'booking {key} has the outcome {outcome}')
async def _outcome(world, key, outcome):
    assert str(world.results[key][-1]) == outcome


@step('then', 'the targets ran {count:d} bookings')
async def _ran(world, count):
    assert len(deployments.bookings_run(world.fabric)) == count


@step('then', 'each outcome of {key} agrees with what the targets ran')
async def _agrees(world, key):
    ran = len(deployments.bookings_run(world.fabric))
    outcomes = [str(o) for o in world.results[key]]
    assert ran <= 1
    if ran == 0:
        assert 'ran' not in outcomes
    elif outcomes[-1] == 'not_run':
        raise AssertionError('not_run is not true')


@step('then', 'all instances have version {version:d} in force')
async def _in_force(world, version):
    found = {n: i.catalogue.version for n, i in world.fabric.instances.items()}
    assert set(found.values()) == {version}, found


@step('then', 'no instance went back to an older version')
async def _never_back(world):
    for found in world.fabric.instances.values():
        versions = [
            int(e.subject)
            for e in found.journal.select()
            if e.kind == 'config.adopted'
        ]
        assert versions == sorted(set(versions))


@step('then', 'one operator was told of the other')
async def _told(world):
    races = [e for e in world.errors if isinstance(e, errors.SheetRaceError)]
    assert len(races) == 1
    assert 'has applied version' in races[0].message


@step('then', 'the accepted sheets are versions 1 to {last:d}')
async def _accepted(world, last):
    manifest, _ = await publish.read_manifest(world.fabric.platform)
    assert manifest.version == last


@step('then', 'instance {name} may not send to a cold {target}')
async def _fenced(world, name, target):
    found = world.fabric.instances[name].group.ownership_lease
    assert not found.allows(target, trio.current_time())


@step('then', 'at most one instance may send to a cold {target}')
async def _sole(world, target):
    now = trio.current_time()
    allowed = [
        n
        for n, i in world.fabric.instances.items()
        if i.group.ownership_lease.allows(target, now)
    ]
    assert len(allowed) <= 1


@step('then', 'some instance may send to a cold {target}')
async def _someone(world, target):
    now = trio.current_time()
    assert any(
        i.group.ownership_lease.allows(target, now)
        for i in world.fabric.instances.values()
    )


@step('then', 'instance {name} is in no entry answer')
async def _not_listed(world, name):
    for other, found in world.fabric.instances.items():
        if other == name:
            continue
        centres = [e.address for e in found.list_entries().entries]
        number = int(name.split('-')[1])
        assert f'127.0.0.1:{number}' not in centres


def _hold(model, versions):
    maps = {epoch: held for (_, epoch), held in model.holdings.items()}
    model.holdings = {
        (int(v), epoch): held
        for epoch, held in maps.items()
        for v in versions.split()
    }


def _state_row(name, state):
    return {'kind': 'state', 'name': name, 'state': state}


async def _publish(world, sheet, author):
    try:
        await deployments.apply_sheet(world.fabric, sheet, author=author)
    except errors.SavorycrossError as exc:
        world.errors.append(exc)


async def _keep_result(world, key, call):
    outcome = ledger.Outcome.NOT_RUN
    try:
        outcome = (await call).outcome
    except errors.SavorycrossError as exc:
        outcome = exc.outcome
    world.results.setdefault(key, []).append(outcome)
