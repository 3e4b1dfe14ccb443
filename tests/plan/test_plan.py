"""The choice of a snapshot while shard maps change."""

from savorycross.catalogue import catalogue
from savorycross.catalogue import service
from savorycross.catalogue import target
from savorycross.entry import query_run
from savorycross.plan import inventory
from savorycross.plan import plan

# Epoch and number of shards of each service.
OLD_SHARD_MAP, NEW_SHARD_MAP = (1, 3), (2, 5)


def make_catalogue():
    """Two services of three shards, each held by one target."""
    return catalogue.Catalogue(
        version=1,
        services=(
            service.Service('left', 'idx', 3),
            service.Service('right', 'idx', 3),
        ),
        targets=tuple(
            target.Target(
                f'{name}-1', name, name, 'x', '127.0.0.1', 1, (0, 1, 2), 2, 10
            )
            for name in ('left', 'right')
        ),
    )


def record_holdings(table, name, shard_map, stamp):
    """Record that a target holds all shards under a shard map."""
    epoch, total = shard_map
    holding = inventory.Holding(
        inventory.Snapshot(1, epoch), total, tuple(range(total))
    )
    table.update(
        inventory.TargetInventory(name, 'boot', True, False, (holding,), stamp)
    )


def make_table(left=OLD_SHARD_MAP, right=OLD_SHARD_MAP):
    table = inventory.InventoryTable()
    record_holdings(table, 'left-1', left, 1)
    record_holdings(table, 'right-1', right, 1)
    return table


def test_plan_is_settled_once_all_services_state_the_new_shard_map():
    table = make_table(left=NEW_SHARD_MAP)
    planner = plan.Planner(table, lambda name: True)
    assert not planner.plan(make_catalogue(), 'idx', 0).is_settled
    record_holdings(table, 'right-1', NEW_SHARD_MAP, 2)
    new_plan = planner.plan(make_catalogue(), 'idx', 0)
    assert new_plan.is_settled
    assert new_plan.asked == 10


def test_service_without_a_usable_target_leaves_the_plan_settled():
    planner = plan.Planner(
        make_table(left=NEW_SHARD_MAP), lambda name: name == 'left-1'
    )
    assert planner.plan(make_catalogue(), 'idx', 0).is_settled


def test_query_waits_for_a_settled_plan():
    table = make_table(left=NEW_SHARD_MAP)
    planner = plan.Planner(table, lambda name: True)
    run = make_run(planner)
    assert run.start(0.0) == []
    record_holdings(table, 'right-1', NEW_SHARD_MAP, 2)
    assert run.next_timer_at() < 0.1
    run.run_due_timers(run.next_timer_at())
    assert run.plan.asked == 10


def test_query_does_not_wait_longer_than_a_share_of_its_timeout():
    planner = plan.Planner(make_table(left=NEW_SHARD_MAP), lambda name: True)
    run = make_run(planner)
    now = 0.0
    sent = run.start(now)
    while not sent:
        now = run.next_timer_at()
        assert now < 0.7
        sent = run.run_due_timers(now)
    assert run.plan.asked == 8


def make_run(planner):
    spec = query_run.QuerySpec('r', 'idx', 0, b'', 1.0, None, 0.0)
    return query_run.QueryRun(
        spec,
        lambda avoid: planner.plan(make_catalogue(), 'idx', 0, avoid),
        lambda name: ['owner'],
        iter(range(100)),
    )
