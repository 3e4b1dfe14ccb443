"""Tells whether a call can get the answers that it needs.

Load pattern: all targets of some shards are down. A call that needs more
shards than are left fails whatever it sends, so it is refused at once, before
any target works on it; and a call that does without them does not wait for
them.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What is known of a service before a call is sent.

    :param is_reachable: whether any target may answer in time.
    :param retry_at: runtime clock time at which an unreachable target is
        tried again, or the limits of targets allow a send; infinity if it is
        not known.
    :param tokens: sends that the targets' limits allow now; infinity if any
        target states none.
    :param is_full: whether no target in use has room for one more send.
    :param is_doubtful: whether no reachable target has accepted a connection
        since it was unreachable.
    """

    is_reachable: bool
    retry_at: float = math.inf
    tokens: float = math.inf
    is_full: bool = False
    is_doubtful: bool = False


def find_return_at(outlooks, needed):
    """Return when a call may succeed that cannot now, or None.

    :param outlooks: Outlooks of all services that the call asks.
    :param needed: services that must answer.
    :returns: runtime clock time at which enough services are tried again;
        None if enough are reachable now.

    >>> up, down = Outlook(True), Outlook(False, 7.0)
    >>> find_return_at([up, up, down], 2) is None
    True
    >>> find_return_at([up, down, Outlook(False, 9.0)], 2)
    7.0
    """
    missing = needed - sum(o.is_reachable for o in outlooks)
    if missing <= 0:
        return None
    times = sorted(o.retry_at for o in outlooks if not o.is_reachable)
    return times[missing - 1] if missing <= len(times) else math.inf
