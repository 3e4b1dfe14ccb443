"""The steps that feature files are written in."""

import datetime
import math

import pytest
import trio

from savorycross.booking import ledger
from savorycross import errors
from savorycross.sheet import publish
from standins import fabric as fabrics
from standins import stated_rate
from tests import deployments
from tests.scenarios import scenario_context

step = scenario_context.step
FULL = 1.0


@pytest.fixture
def script():
    """Return the list of steps that a scenario has recorded."""
    return []


@step('given', 'a deployment of {count:d} instances')
async def _set_instance_count(context, count):
    context.options['instances'] = count


@step('given', 'all targets are cold')
async def _set_cold(context):
    context.options['warm'] = False


@step(
    'given', 'targets with {slots:d} slots, {cold:d} of them usable while cold'
)
async def _set_slots(context, slots, cold):
    context.sheet |= {'slots': slots, 'cold_slots': cold}


@step('given', 'a data centre {name} that is {state} from {a:d} s to {b:d} s')
async def _add_timed_state(context, name, state, a, b):
    """Add a timed state; times are relative to the deployment's start."""
    start = trio.current_time() + fabrics.WALL_OFFSET_S
    row = _state_row(name, state)
    for column, seconds in (('begin', a), ('end', b)):
        when = datetime.datetime.fromtimestamp(
            math.ceil(start) + seconds, datetime.UTC
        )
        row[column] = when.strftime('%Y-%m-%dT%H:%M:%SZ')
    context.sheet['extra'] = [row]


@step('when', 'callers send {rate:d} {workload} queries per second')
async def _send_queries(context, rate, workload):
    context.nursery.start_soon(context.send_queries, workload, rate)


@step('when', 'a caller sends a {workload} query through {entry}')
async def _query(context, workload, entry):
    await context.query(entry, workload)


@step('when', 'a caller starts a {workload} query through {entry}')
async def _start_query(context, workload, entry):
    context.nursery.start_soon(context.query, entry, workload)


@step('when', 'the targets of {service} are {factor:d} times slower')
async def _slow_down(context, service, factor):
    for model in context.fabric.targets.values():
        if model.service == service:
            model.faults.slow_factor = factor


@step('when', '{seconds:g} seconds pass')
async def _wait(context, seconds):
    await trio.sleep(seconds)


@step('when', 'the current time is saved as "{label}"')
async def _save_time(context, label):
    context.saved[label] = trio.current_time()


@step('when', 'target {name} restarts')
async def _restart_target(context, name):
    context.fabric.restart_target(name)


@step('when', 'target {name} becomes cold without notice')
async def _make_cold(context, name):
    context.fabric.targets[name].fall_cold()


@step('when', 'target {name} freezes')
async def _freeze_target(context, name):
    context.fabric.targets[name].faults.frozen = True


def _begin_rate(model, rate_per_s):
    model.stated_rate.begin(rate_per_s, trio.current_time())


@step('when', 'target {name} states a limit of {rate:g} requests a second')
async def _state_rate(context, name, rate):
    _begin_rate(context.fabric.targets[name], rate)


@step('when', 'the targets of {service} state limits of {rate:g} a second')
async def _state_rates(context, service, rate):
    for model in context.fabric.targets.values():
        if model.service == service:
            _begin_rate(model, rate)


@step('when', 'target {name} states no limit any more')
async def _state_no_rate(context, name):
    _begin_rate(context.fabric.targets[name], None)


@step('when', 'target {name} rejects all requests')
async def _reject_requests(context, name):
    context.fabric.targets[name].faults.refuse = True


@step('when', 'target {name} drops all replies')
async def _drop_replies(context, name):
    context.fabric.targets[name].faults.drop = 1.0


@step('when', 'all targets drop {percent:d} percent of their replies')
async def _drop_share_of_replies(context, percent):
    for model in context.fabric.targets.values():
        model.faults.drop = percent / 100


@step('when', 'target {name} reports that it is draining')
async def _drain_target(context, name):
    context.fabric.targets[name].draining = True


@step('when', 'the platform lists target {name} as leaving')
async def _list_as_leaving(context, name):
    context.fabric.platform.leaving_targets = [name]


@step('when', 'the targets hold index versions {versions}')
async def _set_all_index_versions(context, versions):
    for model in context.fabric.targets.values():
        _set_held_versions(model, versions)


@step('when', 'target {name} holds index versions {versions}')
async def _set_index_versions(context, name, versions):
    _set_held_versions(context.fabric.targets[name], versions)


@step('when', 'the targets split {old:d} shards into {new:d} as epoch {n:d}')
async def _split_shards(context, old, new, n):
    for model in context.fabric.targets.values():
        assert old == max(t for t, _ in model.holdings.values())
        model.split(new, n)


@step('when', 'instance {name} is killed')
async def _kill_instance(context, name):
    context.fabric.kill(name)


@step('when', 'instance {name} leaves the view')
async def _leave_view(context, name):
    await context.fabric.instances[name].group.leave()
    await trio.sleep(0.5)


@step('when', 'instance {name} starts')
async def _start_instance(context, name):
    context.fabric.start(name, 'north', seeds=list(context.fabric.instances))


@step('when', 'instance {name} is isolated')
async def _isolate_instance(context, name):
    for other in list(context.fabric.instances):
        if other != name:
            context.fabric.cut(name, other)


@step('when', 'instance {first} is partitioned from {second}')
async def _partition(context, first, second):
    context.fabric.cut(first, second)


@step('when', 'all partitions are healed')
async def _heal_partitions(context):
    context.fabric.heal()


@step('when', 'the platform goes down')
async def _stop_platform(context):
    context.fabric.platform.faults.down = True


@step('when', 'the platform recovers')
async def _recover_platform(context):
    context.fabric.platform.faults.down = False


@step('when', 'the platform is copied')
async def _copy_platform(context):
    context.saved['copy'] = context.fabric.platform.make_copy()


@step('when', 'the platform is restored from the copy')
async def _restore_platform(context):
    context.fabric.platform.restore(context.saved['copy'])


@step('when', 'the platform drops the replies to the next {count:d} writes')
async def _drop_write_replies(context, count):
    context.fabric.platform.faults.lose_writes = count


@step('when', '{author} applies a sheet that sets {name} to {state}')
async def _apply_state(context, author, name, state):
    sheet = deployments.make_sheet(
        **context.sheet | {'extra': [_state_row(name, state)]}
    )
    await _publish(context, sheet, author)


@step('when', '{author} applies a sheet that opens everything')
async def _open_everything(context, author):
    sheet = deployments.make_sheet(**context.sheet | {'extra': ()})
    await _publish(context, sheet, author)


@step('when', '{first} and {second} take out {one} and {two} at once')
async def _apply_at_once(context, first, second, one, two):
    async with trio.open_nursery() as nursery:
        for author, name in ((first, one), (second, two)):
            sheet = deployments.make_sheet(
                **context.sheet | {'extra': [_state_row(name, 'out')]}
            )
            nursery.start_soon(_publish, context, sheet, author)


@step('when', 'a caller books with key {key} through {entry}')
async def _book_with_key(context, key, entry):
    await _record_outcome(
        context, key, deployments.book(context.fabric, entry, key=key)
    )


@step('when', 'a caller gets ticket {name} from {entry}')
async def _get_ticket(context, name, entry):
    context.saved[name] = context.fabric.instances[entry].bookings.issue()


@step('when', 'a caller books with ticket {name} through {entry}')
async def _book_with_ticket(context, name, entry):
    call = deployments.book(context.fabric, entry, ticket=context.saved[name])
    await _record_outcome(context, name, call)


@step(
    'when', 'callers book with key {key} through {first} and {second} at once'
)
async def _book_at_once(context, key, first, second):
    async with trio.open_nursery() as nursery:
        for entry in (first, second):
            call = deployments.book(context.fabric, entry, key=key)
            nursery.start_soon(_record_outcome, context, key, call)


@step('then', 'every answer comes from one snapshot')
async def _assert_one_snapshot(context):
    answers = [q.answer for q in context.query_results if q.answer is not None]
    assert answers
    for answer in answers:
        assert deployments.versions_in(answer) == {answer.snapshot.version}
        epochs = {int(r.id.split('/')[1]) for r in answer.records}
        assert epochs == {answer.snapshot.epoch}


@step('then', 'every answer states its coverage correctly')
async def _assert_correct_coverage(context):
    assert context.query_results
    for query_result in context.query_results:
        scenario_context.assert_coverage_is_consistent(query_result)


@step('then', 'every query since "{label}" was answered in full')
async def _assert_all_full(context, label):
    query_results = context.results_since(label)
    assert query_results
    partial = [r for r in query_results if r.coverage.ratio < FULL]
    assert not partial, [(r.started_at, r.error, r.coverage) for r in partial][
        :5
    ]


@step('then', 'the last answer covers {answered:d} of {asked:d} shards')
async def _assert_last_coverage(context, answered, asked):
    coverage = context.query_results[-1].coverage
    assert (coverage.answered, coverage.asked) == (answered, asked)


@step('then', 'the last answer names a cause for each missed shard')
async def _assert_causes(context):
    coverage = context.query_results[-1].coverage
    assert len(coverage.missed) == coverage.asked - coverage.answered > 0
    assert all(m.cause for m in coverage.missed)


@step('then', 'the last answer is of version {version:d}')
async def _assert_last_version(context, version):
    assert context.query_results[-1].answer.snapshot.version == version


@step(
    'then', 'at least {percent:d} percent of queries since "{label}" were full'
)
async def _assert_mostly_full(context, percent, label):
    query_results = context.results_since(label)
    full = [r for r in query_results if r.coverage.ratio == FULL]
    assert len(full) >= len(query_results) * percent / 100, (
        len(full),
        len(query_results),
    )


@step('then', 'no cold target has exceeded its limit')
async def _assert_cold_limits(context):
    overloads = {
        n: t.record.cold_over
        for n, t in context.fabric.targets.items()
        if t.record.cold_over
    }
    assert not overloads


@step('then', 'no target got more requests than it states')
async def _assert_stated_rates(context):
    rates = {n: t.stated_rate for n, t in context.fabric.targets.items()}
    assert any(r.arrivals for r in rates.values())
    now = trio.current_time()
    ratios = {n: r.worst_ratio(now) for n, r in rates.items()}
    assert max(ratios.values()) <= 1.0, ratios


@step('then', 'target {name} got at least {percent:d} percent of its limit')
async def _assert_rate_used(context, name, percent):
    stated = context.fabric.targets[name].stated_rate
    since = stated.since + stated_rate.LEARNING_S
    allowed = stated.rate_per_s * (trio.current_time() - since)
    used = sum(t >= since for t in stated.arrivals)
    assert used >= percent / 100 * allowed, (used, allowed)


@step('then', 'no query since "{label}" took longer than {seconds:g} s')
async def _assert_answered_early(context, label, seconds):
    query_results = context.results_since(label)
    assert query_results
    assert max(r.duration_s for r in query_results) <= seconds


@step('then', 'target {name} is warm')
async def _assert_warm(context, name):
    assert context.fabric.targets[name].warm


@step('then', 'target {name} has started work since "{label}"')
async def _assert_work_started(context, name, label):
    record = context.fabric.targets[name].record
    assert record.last_started > context.saved[label]


@step(
    'then', '{name} started no work later than {seconds:g} s after "{label}"'
)
async def _assert_no_work_started(context, name, seconds, label):
    limit = context.saved[label] + seconds
    assert trio.current_time() > limit
    catalogue = next(iter(context.fabric.instances.values())).catalogue
    late_targets = [
        t.name
        for t in catalogue.targets
        if name in (t.name, t.data_centre)
        and context.fabric.targets[t.name].record.last_started > limit
    ]
    assert not late_targets


@step('then', 'booking {key} has the outcome {outcome}')
async def _assert_outcome(context, key, outcome):
    assert str(context.booking_outcomes[key][-1]) == outcome


@step('then', 'the targets ran {count:d} bookings')
async def _assert_run_count(context, count):
    assert len(deployments.bookings_run(context.fabric)) == count


@step('then', 'each outcome of {key} agrees with what the targets ran')
async def _assert_outcomes_agree(context, key):
    ran = len(deployments.bookings_run(context.fabric))
    outcomes = [str(o) for o in context.booking_outcomes[key]]
    assert ran <= 1
    if ran == 0:
        assert 'ran' not in outcomes
    elif outcomes[-1] == 'not_run':
        raise AssertionError('the outcome is not_run, but a target ran it')


@step('then', 'bookings that ran and those the targets ran agree')
async def _assert_bookings_agree(context):
    outcomes = [str(o[-1]) for o in context.booking_outcomes.values()]
    assert set(outcomes) == {'ran', 'not_run'}
    ran = len(deployments.bookings_run(context.fabric))
    assert outcomes.count('ran') == ran


@step('then', 'all instances use version {version:d}')
async def _assert_version_in_use(context, version):
    versions = {
        n: i.catalogue.version for n, i in context.fabric.instances.items()
    }
    assert set(versions.values()) == {version}, versions


@step('then', 'the platform holds version {version:d}')
async def _assert_stored_version(context, version):
    manifest, _ = await publish.read_manifest(context.fabric.platform)
    assert manifest.version == version
    stored = await publish.read_catalogue(context.fabric.platform, manifest)
    assert stored.digest == manifest.digest


@step('then', 'all instances use the sheet of {author}')
async def _assert_author_in_use(context, author):
    authors = {i.catalogue.author for i in context.fabric.instances.values()}
    assert authors == {author}


@step('then', 'all instances agree on a view without {name}')
async def _assert_view_without(context, name):
    views = {i.group.view for i in context.fabric.instances.values()}
    assert len(views) == 1, views
    (view,) = views
    assert view.find(name) is None
    names = [m.name for m in view.members]
    assert names == sorted(context.fabric.instances)


@step('then', 'no instance reverted to an older version')
async def _assert_no_reversion(context):
    for instance in context.fabric.instances.values():
        versions = [
            int(e.subject)
            for e in instance.journal.select()
            if e.kind == 'config.adopted'
        ]
        assert versions == sorted(set(versions))


@step('then', 'one operator got a sheet race error')
async def _assert_sheet_race(context):
    races = [e for e in context.errors if isinstance(e, errors.SheetRaceError)]
    assert len(races) == 1
    assert 'has applied version' in races[0].message


@step('then', 'the accepted sheets are versions 1 to {last:d}')
async def _assert_last_accepted(context, last):
    manifest, _ = await publish.read_manifest(context.fabric.platform)
    assert manifest.version == last


@step('then', 'instance {name} may not send to a cold {target}')
async def _assert_may_not_send(context, name, target):
    ownership_lease = context.fabric.instances[name].group.ownership_lease
    assert not ownership_lease.allows(target, trio.current_time())


@step('then', 'at most one instance may send to a cold {target}')
async def _assert_at_most_one_sender(context, target):
    now = trio.current_time()
    allowed = [
        n
        for n, i in context.fabric.instances.items()
        if i.group.ownership_lease.allows(target, now)
    ]
    assert len(allowed) <= 1


@step('then', 'some instance may send to a cold {target}')
async def _assert_some_sender(context, target):
    now = trio.current_time()
    assert any(
        i.group.ownership_lease.allows(target, now)
        for i in context.fabric.instances.values()
    )


@step('then', 'no other instance lists the address of instance {name}')
async def _assert_not_listed(context, name):
    for other, instance in context.fabric.instances.items():
        if other == name:
            continue
        addresses = [e.address for e in instance.list_entries().entries]
        number = int(name.split('-')[1])
        assert f'127.0.0.1:{number}' not in addresses


def _set_held_versions(model, versions):
    shards_by_epoch = {e: shards for (_, e), shards in model.holdings.items()}
    model.holdings = {
        (int(v), epoch): shards
        for epoch, shards in shards_by_epoch.items()
        for v in versions.split()
    }


def _state_row(name, state):
    return {'kind': 'state', 'name': name, 'state': state}


async def _publish(context, sheet, author):
    try:
        await deployments.apply_sheet(context.fabric, sheet, author=author)
    except errors.SavorycrossError as exc:
        context.errors.append(exc)


async def _record_outcome(context, key, call):
    outcome = ledger.Outcome.NOT_RUN
    try:
        outcome = (await call).outcome
    except errors.SavorycrossError as exc:
        outcome = exc.outcome
    context.booking_outcomes.setdefault(key, []).append(outcome)
