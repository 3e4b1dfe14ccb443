"""Puts together what logs say of one request."""

import dataclasses

import msgspec

from savorycross import errors

# Events that change what an instance believes; the newest of each kind
# before a request's lines belongs to its story.
BELIEFS = (
    'configuration.',
    'store.',
    'instance.started',
    'instance.ready',
    'instance.stopping',
    'instance.woke',
    'mirror.',
    'data_centre.',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :param time: seconds since the epoch, by the instance's clock.
    :param fields: names and values of the event.
    """

    time: float
    instance: str
    event: str
    request: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What logs say of a request.

    :param lines: its own lines and the beliefs behind them, by time.
    :param dropped: number of lines that the log budget left out, by event.
    """

    request: str
    lines: tuple[Line, ...]
    dropped: dict[str, int]


def parse(text):
    """Return the Line in a log line, or None if it is no event."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(text[start:])
    except ValueError:
        return None
    if not isinstance(found, dict) or 'event' not in found:
        return None
    return Line(
        time=float(found.pop('time', 0.0)),
        instance=str(found.pop('instance', '')),
        event=str(found.pop('event')),
        request=str(found.pop('request', '')),
        fields=found,
    )


def tell(request, texts):
    """Return the Story of a request.

    :param request: id of the request.
    :param texts: lines of the logs of one or more instances.
    :raises NotFoundError: if no line names the request.
    """
    lines = [line for line in map(parse, texts) if line is not None]
    lines.sort(key=lambda line: line.time)
    own = [line for line in lines if line.request == request]
    dropped = _count_dropped(lines)
    if not own:
        hint = f'; {sum(dropped.values())} lines were left out'
        raise errors.NotFoundError(
            f'no line of {len(lines)} names request {request!r}'
            + (hint if dropped else '')
        )
    found = {id(line): line for line in own}
    for line in own:
        for belief in _beliefs(lines, line):
            found[id(belief)] = belief
    ordered = sorted(found.values(), key=lambda line: line.time)
    return Story(request, tuple(ordered), dropped)


def _beliefs(lines, about):
    """Return the newest beliefs of an instance before a line."""
    newest = {}
    targets = {about.fields.get('target'), *about.fields.get('targets', ())}
    for line in lines:
        if line.time > about.time:
            break
        if line.instance != about.instance:
            continue
        if line.event.startswith('target.') and not line.request:
            target = line.fields.get('target')
            if target is not None and target in targets:
                newest['target', target] = line
        elif line.event.startswith(BELIEFS):
            newest[line.event.partition('.')[0]] = line
    return newest.values()


def _count_dropped(lines):
    dropped = {}
    for line in lines:
        n = line.fields.get('dropped', 0)
        if n:
            dropped[line.event] = dropped.get(line.event, 0) + n
    return dropped
