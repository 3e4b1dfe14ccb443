"""The ``savorycross explain`` command."""

import pathlib
import sys

from savorycross import errors
from savorycross.events import request_trace


def explain(request, files):
    """Return the log lines about a request, in the order of their times.

    :param request: id of the request.
    :param files: paths of log files; standard input if there are none.
    :returns: list of dicts, one for each line, and one with the number of
        lines that were dropped from the logs, if any.
    :raises NotFoundError: if no line has the id of the request.
    :raises UsageError: if a file cannot be read.
    """
    trace = request_trace.assemble(request, _read_lines(files))
    rows = [
        {
            'time': round(line.time, 4),
            'instance': line.instance,
            'event': line.event,
            'is_about_request': line.request == trace.request,
            **line.fields,
        }
        for line in trace.lines
    ]
    if trace.dropped:
        rows.append({'event': 'log.dropped', **trace.dropped})
    return rows


def _read_lines(files):
    if not files:
        yield from sys.stdin
        return
    for path in files:
        try:
            with pathlib.Path(path).open(errors='replace') as file:
                yield from file
        except OSError as exc:
            raise errors.UsageError(f'{path}: {exc.strerror}') from exc
