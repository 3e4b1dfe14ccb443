"""When this instance writes what is due about a roll-out.

Load pattern: a write may be due for seconds, as the store does not answer or
others are to make it, and the mirror shows it late; see ``status``.
"""

from savorycross.rollout import status

# A write that failed is not tried again for this time.
RETRY_S = 0.6
# Interval at which a roll-out that has ended is looked at.
SETTLED_S = 1.0
# Time within which the mirror shows what was written.
SPREAD_S = 2.5


def choose_record(entry, view, shares, now, wall_now):
    """Return the RolloutRecord that this instance writes now, or None.

    :param entry: Entry, which keeps since when a write has been due.
    :param view: StoreView.
    :param shares: LimitShares of the instances that take callers.
    :param now: runtime clock time in seconds.
    :param wall_now: wall clock time in seconds.
    """
    if entry.is_settled and now < entry.not_before:
        return None
    record = _find_due(entry, view, shares, now, wall_now)
    if record is None:
        entry.due_since = None
        if entry.is_settled:
            entry.not_before = now + SETTLED_S
        return None
    if entry.due_since is None:
        entry.due_since = now
    if not shares.is_sender or now < entry.not_before:
        return None
    rank = shares.rank(entry.rollout.service).index(shares.own)
    if now - entry.due_since < status.choose_wait_s(rank):
        return None
    return record


def _find_due(entry, view, shares, now, wall_now):
    """Return the RolloutRecord that has to be written, or None."""
    rollout = entry.rollout
    is_drained = False
    if entry.pool is not None:
        is_drained = entry.pool.is_drained(shares.senders, now)
    record = status.decide(
        status.View(
            rollout.order,
            rollout.record,
            rollout.age_s(now),
            wall_now,
            bool(rollout.reason),
            rollout.has_new,
            is_drained,
            rollout.is_confirmed(now),
            rollout.is_settled(now),
        )
    )
    if record is not None or rollout.record is None:
        return record
    written_at = entry.written_at
    if written_at is not None and now - written_at < SPREAD_S:
        return None
    return rollout.record if view.lacks(rollout.record) else None
