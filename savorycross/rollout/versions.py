"""Which versions of a service's targets get nothing.

Load pattern: orders follow each other before the former one has ended, so
that targets of more than two versions run. A version whose roll-out did not
complete gets nothing, as nothing shows that it is good, unless there is no
other.
"""

from savorycross.rollout import exposure
from savorycross.rollout import order as orders


def list_rejected(to_version, record):
    """Return the versions that are neither old nor new.

    :param to_version: version that the service moves to.
    :param record: RolloutRecord, or None.
    """
    if record is None:
        return ()
    rejected = record.rejected
    if record.state is not orders.State.COMPLETE:
        rejected += (record.order.to_version,)
    return tuple(v for v in rejected if v != to_version)


def is_withheld(version, to_version, rejected, known, phase):
    """Return whether targets of a version get nothing now.

    :param rejected: see ``list_rejected``.
    :param known: versions of all targets of the service.
    :param phase: exposure.Phase.
    """
    usable = known.difference(rejected)
    if version in rejected:
        return bool(usable)
    if version != to_version:
        is_moved = phase in (exposure.Phase.NEW_ONLY, exposure.Phase.UNKNOWN)
        return is_moved and to_version in usable
    has_old = bool(usable - {version})
    is_unused = phase in (exposure.Phase.OLD_ONLY, exposure.Phase.UNKNOWN)
    return has_old and is_unused
