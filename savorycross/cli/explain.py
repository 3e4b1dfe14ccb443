"""The ``savorycross explain`` command."""

import pathlib
import sys

from savorycross import errors
from savorycross.events import request_trace


def explain(request, files):
    """Return rows that tell a request's story.

    :param request: id of the request.
    :param files: paths of logs; standard input if there are none.
    :raises UsageError: if a file cannot be read.
    """
    found = request_trace.assemble(request, _read(files))
    rows = [
        {
            'time': round(line.time, 4),
            'instance': line.instance,
            'event': line.event,
            'is_about_request': line.request == found.request,
            **line.fields,
        }
        for line in found.lines
    ]
    if found.dropped:
        rows.append({'event': 'log.dropped', **found.dropped})
    return rows


def _read(files):
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            with pathlib.Path(name).open(errors='replace') as file:
                yield from file
        except OSError as exc:
            raise errors.UsageError(f'{name}: {exc.strerror}') from exc
