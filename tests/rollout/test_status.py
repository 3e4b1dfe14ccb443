"""What is written to the store about a roll-out."""

import dataclasses

from savorycross.rollout import order as orders
from savorycross.rollout import status

ORDER = orders.RolloutOrder('s', 'v2', 60.0)
ROLLING = orders.RolloutRecord(ORDER, orders.State.ROLLING, False, 1000.0)
MOVING = dataclasses.replace(ROLLING, is_moving=True)


def _decide(record, age_s=0.0, order=ORDER, **fields):
    return status.decide(
        status.View(order, record, age_s, 1000.0 + age_s, **fields)
    )


def test_roll_out_goes_from_order_to_complete():
    record = _decide(None)
    assert record == ROLLING
    assert _decide(record, 30.0) is None
    record = _decide(record, ORDER.move_at_s)
    assert record == MOVING
    assert _decide(record, ORDER.drain_at_s) is None
    record = _decide(record, ORDER.drain_at_s, is_drained=True)
    assert record.state is orders.State.COMPLETE


# Guards against a status that returns from its end, for example as an
# instance that was frozen still holds evidence.
def test_final_state_stays_for_the_same_order():
    for state in (orders.State.COMPLETE, orders.State.REVERTED):
        record = dataclasses.replace(MOVING, state=state)
        for is_bad in (False, True):
            assert _decide(record, 10.0, is_bad=is_bad) is None
            assert _decide(record, 99.0, is_bad=is_bad) is None
        assert _decide(record, order=None).state is state
        repeated = dataclasses.replace(ORDER)
        assert _decide(record, order=repeated) is None


def test_bad_version_is_reverted_at_any_time():
    for record in (ROLLING, MOVING):
        written = _decide(record, 59.9, is_bad=True, is_drained=True)
        assert written.state is orders.State.REVERTED


# Guards against an end of the old targets while the new ones are dead.
def test_roll_out_without_new_targets_does_not_complete():
    assert _decide(ROLLING, ORDER.move_at_s, has_new=False) is None
    written = _decide(ROLLING, ORDER.decide_at_s, has_new=False)
    assert written.state is orders.State.REVERTED
    written = _decide(MOVING, ORDER.drain_at_s, has_new=False)
    assert written.state is orders.State.REVERTED


def test_roll_out_completes_by_the_deadline_without_all_reports():
    written = _decide(MOVING, ORDER.decide_at_s)
    assert written.state is orders.State.COMPLETE


def test_withdrawn_order_is_reverted():
    written = _decide(MOVING, order=None)
    assert written.state is orders.State.REVERTED
    assert _decide(written, order=None) is None


# Guards against an order that does nothing, as an earlier one with the same
# content was withdrawn.
def test_order_that_is_given_again_begins_another_roll_out():
    withdrawn = _decide(MOVING, order=None)
    written = _decide(withdrawn)
    assert written.state is orders.State.ROLLING
    assert written.run == MOVING.run + 1
    assert written.rank > withdrawn.rank


# Guards against sends without a bound to a version whose roll-out was
# replaced by another before it ended.
def test_version_of_a_replaced_order_stays_out_of_use():
    other = orders.RolloutOrder('s', 'v3', 60.0)
    written = _decide(ROLLING, order=other)
    assert written.order == other
    assert written.rejected == ('v2',)
    again = _decide(written, order=ORDER)
    assert again.rejected == ('v3',)
    complete = dataclasses.replace(MOVING, state=orders.State.COMPLETE)
    assert _decide(complete, order=other).rejected == ()


def test_instances_take_over_in_the_order_of_their_ranks():
    waits = [status.choose_wait_s(n) for n in range(5)]
    assert waits[0] == 0.0
    assert waits == sorted(set(waits))
