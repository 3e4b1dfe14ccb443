"""Load patterns: what callers ask and what goes wrong, read from a file."""

import tomllib
import typing

import msgspec

from savorycross import errors


class PatternError(errors.SavorycrossError):
    """A pattern file is missing, malformed, or has an invalid field."""

    code = 'pattern_invalid'
    exit_status = 2


_Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
_Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]


class Index(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shards of an index, each with interchangeable targets.

    :param replicas: targets of each shard.
    :param slots: requests that a target works on at once.
    :param queue: requests that wait at a target before it refuses more.
    :param pause_ms: length of the pauses that each target makes.
    :param pause_every_s: seconds between the starts of two pauses.
    :param max_connections: connections that a target accepts.
    :param cold_rate_per_s: requests a second that a cold target can take; 0
        if they are not limited.
    """

    name: str
    shards: _Count
    replicas: _Count = 3
    slots: _Count = 4
    queue: int = 12
    pause_ms: _NotNegative = 0.0
    pause_every_s: _Positive = 6.0
    max_connections: _Count = 125
    cold_rate_per_s: _NotNegative = 0.0


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    :param index: index that is asked.
    :param gathers: whether all shards are asked, or one by the request.
    :param rate_per_s: requests a second over all callers.
    :param work_ms: mean time that a target works on a request.
    :param weight: worth of an answer in time.
    :param late_weight: worth of a late answer as a part of that.
    :param retries: tries beyond the first that a caller makes.
    """

    name: str
    index: str
    rate_per_s: _Positive
    work_ms: _Positive
    objective_ms: _Positive
    deadline_ms: _Positive
    gathers: bool = True
    min_coverage: _Share = 1.0
    priority: int = 1
    weight: _Positive = 1.0
    late_weight: _Share = 0.1
    retries: int = 1
    is_idempotent: bool = True


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong for a time.

    ``slow`` multiplies the work of targets by ``factor``; ``dark`` makes
    them silent; ``down`` makes them refuse connections; ``shed`` makes them
    refuse the part ``factor`` of requests; ``limit`` makes them state that
    they take ``factor`` requests a second; ``cold`` restarts them cold;
    ``burst`` multiplies the callers' rate; ``leave`` makes a share of the
    callers leave at the part ``factor`` of their objective; ``repeat`` makes
    a share of the callers try again at once, ``factor`` times; ``loss`` ends
    instances.

    :param share: part of the targets, callers or instances.
    :param data_centre: number of the data centre whose targets are hit, or
        None for all.
    :param targets: ids of the targets that are hit, instead of a share.
    :param per_shard: number of targets that are hit in each of a share of
        the shards; 0 for a share of all targets.
    """

    kind: typing.Literal[
        'slow',
        'dark',
        'down',
        'shed',
        'limit',
        'cold',
        'burst',
        'leave',
        'repeat',
        'loss',
    ]
    at_s: _NotNegative
    for_s: _Positive = 5.0
    share: _Share = 0.15
    factor: _Positive = 1.0
    per_shard: int = 0
    targets: tuple[str, ...] = ()
    data_centre: int | None = None


class Pattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load pattern.

    :param answers: the decision that the pattern tests, in a few words.
    :param extra_slack: extra sends to a service in 10 s that are allowed
        beyond the ratio.
    :param link_ms: one way between two data centres, on top of that within
        one.
    :param caller_weights: callers of the instances of each data centre, in
        any unit; all alike if empty.
    :param workspaces: requests of each workspace, in any unit; callers have
        none if empty.
    """

    title: str
    answers: str
    indexes: tuple[Index, ...]
    kinds: tuple[Kind, ...]
    events: tuple[Event, ...] = ()
    duration_s: _Positive = 20.0
    instances: _Count = 12
    data_centres: _Count = 3
    extra_ratio: _Share = 0.2
    extra_slack: _NotNegative = 50.0
    link_ms: _NotNegative = 0.0
    caller_weights: tuple[_NotNegative, ...] = ()
    workspaces: dict[str, _Positive] = {}


def read_pattern(path):
    """Return the Pattern in a TOML file.

    :param path: path of the file.
    :raises PatternError: if it is missing or invalid; names file and field.
    """
    try:
        with open(path, 'rb') as file:
            pattern = msgspec.convert(tomllib.load(file), Pattern)
    except (OSError, ValueError) as exc:
        raise PatternError(f'{path}: {exc}') from exc
    names = {index.name for index in pattern.indexes}
    for kind in pattern.kinds:
        if kind.index not in names:
            raise PatternError(
                f'{path}: kind {kind.name!r}: index {kind.index!r} '
                'does not exist'
            )
        if kind.objective_ms > kind.deadline_ms:
            raise PatternError(
                f'{path}: kind {kind.name!r}: objective_ms '
                f'{kind.objective_ms} is above deadline_ms {kind.deadline_ms}'
            )
    return pattern
