"""The ``savorycross`` command."""

import contextlib
import io
import json
import os
import sys

import fire
import msgspec
import trio

import savorycross
from savorycross.cli import deferred
from savorycross.cli import explain
from savorycross.cli import instances
from savorycross.cli import output
from savorycross.cli import settings as settings_commands
from savorycross.cli import sheet
from savorycross.client import client as clients
from savorycross import errors
from savorycross.events import clock
from savorycross import settings

JSON_FLAG = '--json'


class Commands:
    """A query tier that spans many shards.

    Every command takes --json to print JSON.
    """

    def __init__(self):
        self.sheet = sheet.SheetCommands()
        self.settings = settings_commands.SettingsCommands()

    def serve(self, **flags):
        """Run an instance until SIGTERM; flags are the settings.

        See docs/SETTINGS.md for the settings.
        """
        return deferred.Deferred(lambda: _serve(flags))

    def query(
        self,
        workload,
        payload=None,
        deadline_ms=5000,
        min_coverage=None,
        limit=None,
        entries=None,
    ):
        """Ask a query and print its answer with snapshot and coverage.

        :param workload: name of a workload of type query.
        :param payload: JSON value, passed to every shard.
        :param entries: addresses of instances, separated by commas.
        """
        options = {'min_coverage': min_coverage, 'limit': limit}
        options = {k: v for k, v in options.items() if v is not None}
        return deferred.Deferred(
            lambda: trio.run(
                _query, workload, payload, deadline_ms, options, entries
            )
        )

    def book(
        self,
        workload,
        payload=None,
        key='',
        ticket='',
        deadline_ms=5000,
        entries=None,
    ):
        """Run a booking at most once and print its outcome.

        :param workload: name of a workload of type booking.
        :param payload: JSON value for the target.
        :param key: your own identity of the booking.
        :param ticket: ticket of an earlier try.
        """
        return deferred.Deferred(
            lambda: trio.run(
                _book, workload, payload, key, ticket, deadline_ms, entries
            )
        )

    def entries(self, entries=None):
        """Print which instances callers are to use, and for how long."""
        return deferred.Deferred(lambda: trio.run(_entries, entries))

    def status(self, entries=None, target=None):
        """Print what each instance says of itself.

        :param target: print just this target, and why it gets no work.
        """
        return deferred.Deferred(lambda: trio.run(_status, entries, target))

    def timeline(self, request=None, since=0, entries=None):
        """Print events of all instances in causal order.

        :param request: id of a request, or name of a target or version.
        :param since: stamp after which to begin.
        """
        return deferred.Deferred(
            lambda: trio.run(_timeline, entries, request, since)
        )

    def explain(self, request, *files):
        """Print a request's story from the logs of several instances.

        :param request: id of the request.
        :param files: paths of logs; standard input if there are none.
        """
        return deferred.Deferred(
            lambda: explain.explain(str(request), [str(f) for f in files])
        )

    def version(self):
        """Print the version."""
        return deferred.Deferred(lambda: savorycross.__version__)


def main(arguments=None):
    """Run a command line and return its exit status."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    as_json = JSON_FLAG in arguments
    arguments = [a for a in arguments if a != JSON_FLAG]
    try:
        command = _parse(arguments)
        if command is None:
            return 0
        value = deferred.run(command)
    except errors.SavorycrossError as exc:
        _print_error(exc, as_json)
        return exc.exit_status
    except KeyboardInterrupt:
        return 130
    if value is not None:
        print(output.render(value, as_json))
    return 0


def _parse(arguments):
    """Return the command that arguments name, or None after help.

    :raises UsageError: if they name none.
    """
    captured = io.StringIO()
    os.environ.setdefault('PAGER', 'cat')
    try:
        with contextlib.redirect_stderr(captured):
            found = fire.Fire(
                Commands(),
                command=arguments,
                name='savorycross',
                serialize=lambda _: None,
            )
    except fire.core.FireExit as exc:
        if exc.code:
            raise errors.UsageError(_first_error(captured)) from None
        print(captured.getvalue())
        return None
    if isinstance(found, deferred.Deferred):
        return found
    raise errors.UsageError('name a command; see savorycross --help')


def _first_error(captured):
    for line in captured.getvalue().splitlines():
        if line.startswith('ERROR: '):
            return line.removeprefix('ERROR: ') + '; see savorycross --help'
    return 'invalid command line; see savorycross --help'


def _print_error(exc, as_json):
    if as_json:
        body = {
            'code': exc.code,
            'message': exc.message,
            'outcome': exc.outcome,
            'details': list(exc.details),
        }
        print(json.dumps(body), file=sys.stderr)
        return
    print(f'savorycross: {exc.code}: {exc.message}', file=sys.stderr)
    for line in exc.details:
        print(f'  {line}', file=sys.stderr)


def _serve(flags):
    # Only this command needs the server, which takes long to import.
    from savorycross.daemon import logs
    from savorycross.daemon import serve

    found = settings.load({k: _text(v) for k, v in flags.items()})
    logs.configure(found.log_format, found.log_level)
    try:
        trio.run(serve.serve, found)
    except* OSError as group:
        first = group.exceptions[0]
        raise errors.SettingsError(f'cannot listen: {first}') from None


def _text(value):
    """Undo the command line library's own reading of tuples."""
    if isinstance(value, (tuple, list)):
        return ','.join(map(str, value))
    return value


async def _query(workload, payload, deadline_ms, options, entries):
    first = instances.split_entries(entries)
    async with clients.Client(first) as client:
        return await client.query(
            str(workload), payload, _seconds(deadline_ms), **options
        )


async def _book(workload, payload, key, ticket, deadline_ms, entries):
    first = instances.split_entries(entries)
    async with clients.Client(first) as client:
        return await client.book(
            str(workload),
            payload,
            _seconds(deadline_ms),
            key=str(key),
            ticket=str(ticket),
        )


def _seconds(deadline_ms):
    if isinstance(deadline_ms, bool) or not isinstance(deadline_ms, int):
        raise errors.UsageError(f'deadline_ms {deadline_ms!r} is no number')
    return deadline_ms / 1000


async def _entries(entries):
    first = instances.split_entries(entries)
    async with clients.Client(first) as client:
        return await client.entries()


async def _status(entries, target):
    found = await instances.statuses(entries)
    if target is None:
        return {s.name: msgspec.to_builtins(s) for s in found}
    rows = {
        s.name: msgspec.to_builtins(t)
        for s in found
        for t in s.targets
        if t.name == str(target)
    }
    if not rows:
        raise errors.NotFoundError(f'no instance owns a target {target!r}')
    return rows


async def _timeline(entries, subject, since):
    found = await instances.events(entries, subject, since)
    return [
        {
            'stamp': e.stamp,
            'ms': clock.milliseconds(e.stamp),
            'instance': e.instance,
            'kind': e.kind,
            'subject': e.subject,
            **e.fields,
        }
        for e in found
    ]


if __name__ == '__main__':
    sys.exit(main())
