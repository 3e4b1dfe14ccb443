"""Jobs of a replica set, results of attempts, and dispatch actions."""

import dataclasses
import enum


class Cause(enum.StrEnum):
    """Why a shard is missing from an answer."""

    DEADLINE = 'deadline'
    OVERLOADED = 'overloaded'
    NO_REPLICA = 'no_replica'
    NO_TARGET = 'no_target'
    VERSION_GONE = 'version_gone'
    FAILED = 'failed'
    OWNER_LOST = 'owner_lost'
    CANCELLED = 'cancelled'


class Status(enum.StrEnum):
    """How one attempt at a target ended.

    After ``REFUSED``, ``VERSION_GONE`` and ``UNSENT`` it is certain that the
    target did not run the request.
    """

    OK = 'ok'
    REFUSED = 'refused'
    VERSION_GONE = 'version_gone'
    UNSENT = 'unsent'
    CANCELLED = 'cancelled'
    LOST = 'lost'
    TIMEOUT = 'timeout'


NOT_RUN_STATUSES = frozenset(
    {Status.REFUSED, Status.VERSION_GONE, Status.UNSENT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One shard of one query, or one booking.

    :param job_id: unique on this instance.
    :param part_id: part that the job belongs to.
    :param shard: shard key, ``service/number``.
    :param number: shard number, or -1 if the key has none.
    :param version: version of the snapshot to read.
    :param epoch: epoch of the snapshot to read.
    :param priority: the lowest number is served first.
    :param deadline: runtime clock, seconds.
    :param repeatable: False if the request may run at most once.
    """

    job_id: int
    part_id: int
    request_id: str
    service: str
    shard: str
    number: int
    version: int
    epoch: int
    priority: int
    deadline: float
    payload: bytes
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, and the target's statements about itself.

    :param boot: identity of the target's process; empty if not stated.
    :param warm: whether the target says that it is warm; None if not
        stated.
    :param rate_per_s: requests a second that the target takes from all
        instances together; None if it states no limit.
    """

    status: Status
    body: bytes = b''
    boot: str = ''
    warm: bool | None = None
    rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a job to a target.

    :param boot: identity of the process that is known to be warm; nothing
        is sent if the target's identity differs. Empty for any process.
    :param ends_at: runtime clock time at which the attempt ends, seconds:
        the request is not written later, and the target is told to stop
        by then.
    """

    attempt_id: int
    target: str
    job: Job
    boot: str = ''
    ends_at: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Action: tell a target that an attempt is no longer needed."""

    attempt_id: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Action: a job has ended.

    :param cause: Cause if there is no body, or None.
    :param ran: for a job that is not repeatable: False if it is known not
        to have run, True if it ran, None if unknown.
    :param waited_s: seconds in the queue before the first send.
    """

    job: Job
    cause: Cause | None
    body: bytes = b''
    ran: bool | None = True
    waited_s: float = 0.0
