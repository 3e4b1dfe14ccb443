"""Traces of requests, assembled from the logs of several instances."""

import dataclasses

import msgspec

from savorycross import errors

# Prefixes of events that change the state of an instance. The newest event of
# each kind before a line of a request is part of the request's trace.
STATE_EVENT_PREFIXES = (
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
class LogLine:
    """One parsed line of a log.

    :param time: seconds since the epoch by the instance's wall clock.
    :param request: id of the request; empty if the event concerns none.
    :param fields: further values by name.
    """

    time: float
    instance: str
    event: str
    request: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """What the logs contain about a request.

    :param request: id of the request.
    :param lines: lines of the request, and the state events that were in
        effect at these, in order of time.
    :param dropped: number of lines that the log's rate limit suppressed, by
        event.
    """

    request: str
    lines: tuple[LogLine, ...]
    dropped: dict[str, int]


def parse(text):
    """Parse a line of a log.

    Text before the first brace is ignored.

    :returns: the LogLine, or None if the text is not an event.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'event' not in fields:
        return None
    return LogLine(
        time=float(fields.pop('time', 0.0)),
        instance=str(fields.pop('instance', '')),
        event=str(fields.pop('event')),
        request=str(fields.pop('request', '')),
        fields=fields,
    )


def assemble(request, texts):
    """Return the RequestTrace of a request.

    :param request: id of the request.
    :param texts: lines of the logs of one or more instances.
    :raises NotFoundError: if no line has the id of the request.
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
    lines_by_identity = {id(line): line for line in own}
    for line in own:
        for state_line in _find_state_lines(lines, line):
            lines_by_identity[id(state_line)] = state_line
    ordered = sorted(lines_by_identity.values(), key=lambda line: line.time)
    return RequestTrace(request, tuple(ordered), dropped)


def _find_state_lines(lines, request_line):
    """Return the newest state events of an instance before a line.

    These are the newest event of each kind, and the newest event of each
    target that the line names.

    :param lines: LogLines in order of time.
    :param request_line: a LogLine of a request.
    """
    newest = {}
    targets = {
        request_line.fields.get('target'),
        *request_line.fields.get('targets', ()),
    }
    for line in lines:
        if line.time > request_line.time:
            break
        if line.instance != request_line.instance:
            continue
        if line.event.startswith('target.') and not line.request:
            target = line.fields.get('target')
            if target is not None and target in targets:
                newest['target', target] = line
        elif line.event.startswith(STATE_EVENT_PREFIXES):
            newest[line.event.partition('.')[0]] = line
    return newest.values()


def _count_dropped(lines):
    dropped = {}
    for line in lines:
        n = line.fields.get('dropped', 0)
        if n:
            dropped[line.event] = dropped.get(line.event, 0) + n
    return dropped
