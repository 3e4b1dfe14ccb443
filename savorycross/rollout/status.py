"""What to write to the store about a roll-out, and when to take over.

Load pattern: hundreds of instances could write, a few want to, and the one
that should may be dead, frozen or cut off. The instances are ranked for each
service. The first one writes at once, the others each after a longer wait,
which starts when the write is due. As each write is a compare-and-swap on
the revisions that the decision was based on, two writers do no harm.

Source of the method: optimistic concurrency control (Kung and Robinson,
ACM TODS 6(2), 1981); staggered take-over by rank (Ongaro and Ousterhout,
"In Search of an Understandable Consensus Algorithm", 2014, section 5.2, with
ranks instead of random waits).
"""

import dataclasses

from savorycross.rollout import order as orders

# Wait of an instance for the one ranked before it.
TAKEOVER_S = 0.8
MAX_REJECTED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What an instance knows of a roll-out.

    :param order: RolloutOrder in the store, or None.
    :param record: RolloutRecord in the store, or None.
    :param age_s: seconds since the order.
    :param wall_now: wall clock time in seconds.
    :param is_bad: whether the evaluation has found the version bad.
    :param has_new: whether any target of the new version can get work.
    :param is_drained: whether no instance has a request in progress at an
        old target, as far as they have told.
    :param is_confirmed: whether a majority of the instances that decide has
        confirmed lately that the version is not known to be bad.
    :param is_settled: whether all instances that a majority confirms know
        that most requests have moved.
    """

    order: orders.RolloutOrder | None
    record: orders.RolloutRecord | None
    age_s: float = 0.0
    wall_now: float = 0.0
    is_bad: bool = False
    has_new: bool = True
    is_drained: bool = False
    is_confirmed: bool = True
    is_settled: bool = True


def decide(view):
    """Return the RolloutRecord to write now, or None.

    :param view: View.
    """
    order, record = view.order, view.record
    if order is None:
        return _withdraw(record)
    if record is None or not record.is_for(order):
        return _begin(view)
    if record.state.is_final:
        return None
    if view.is_bad:
        return _end(record, orders.State.REVERTED)
    if not record.is_moving:
        if view.age_s < order.move_at_s:
            return None
        if view.has_new:
            return dataclasses.replace(record, is_moving=True)
        if view.age_s < order.decide_at_s:
            return None
        return _end(record, orders.State.REVERTED)
    if not view.has_new:
        return _end(record, orders.State.REVERTED)
    if not view.is_confirmed or view.age_s < order.drain_at_s:
        return None
    is_late = view.age_s >= order.decide_at_s
    if view.is_drained or (is_late and view.is_settled):
        return _end(record, orders.State.COMPLETE)
    return None


def choose_wait_s(rank):
    """Return the seconds for which an instance leaves a write to others.

    :param rank: its place among the possible writers, from 0.
    """
    return rank * TAKEOVER_S


def _begin(view):
    """Return the record of a new order.

    The version of an order that did not complete stays out of use, as
    nothing shows that it is good.
    """
    record, order = view.record, view.order
    rejected = ()
    run = 1
    if record is not None:
        rejected = record.rejected
        run = record.run + 1
        if record.state is not orders.State.COMPLETE:
            rejected += (record.order.to_version,)
    rejected = tuple(v for v in rejected if v != order.to_version)
    return orders.RolloutRecord(
        order,
        orders.State.ROLLING,
        False,
        view.wall_now - view.age_s,
        rejected[-MAX_REJECTED:],
        run,
    )


def _withdraw(record):
    """Return the record of a withdrawn order."""
    if record is None or record.is_withdrawn:
        return None
    if not record.state.is_final:
        record = _end(record, orders.State.REVERTED)
    return dataclasses.replace(record, is_withdrawn=True)


def _end(record, state):
    return dataclasses.replace(record, state=state)
