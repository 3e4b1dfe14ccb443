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
from savorycross.cli import configuration
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
    """A query tier over many shards.

    Every command accepts --json to print JSON.
    """

    def __init__(self):
        self.sheet = sheet.SheetCommands()
        self.configuration = configuration.ConfigurationCommands()
        self.settings = settings_commands.SettingsCommands()

    def serve(self, **flags):
        """Run an instance until SIGTERM, with settings given as flags.

        The settings are listed in docs/SETTINGS.md.
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
        """Run a query and print its answer with snapshot and coverage.

        :param workload: name of a workload of type query.
        :param payload: JSON value that is sent to every shard.
        :param deadline_ms: deadline in milliseconds from now.
        :param min_coverage: minimum coverage, as a ratio from 0 to 1.
        :param limit: maximum number of records in the answer.
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
        :param payload: JSON value that is sent to the target.
        :param key: idempotency key of your choice.
        :param ticket: ticket of an earlier attempt.
        :param deadline_ms: deadline in milliseconds from now.
        :param entries: addresses of instances, separated by commas.
        """
        return deferred.Deferred(
            lambda: trio.run(
                _book, workload, payload, key, ticket, deadline_ms, entries
            )
        )

    def entries(self, entries=None):
        """Print the instances that callers may use, and for how long."""
        return deferred.Deferred(lambda: trio.run(_entries, entries))

    def status(self, entries=None, target=None):
        """Print the status of each instance.

        :param entries: addresses of instances, separated by commas.
        :param target: print only this target, and why it gets no work.
        """
        return deferred.Deferred(lambda: trio.run(_status, entries, target))

    def timeline(self, request=None, since=0, entries=None):
        """Print events of all instances in causal order.

        :param request: id of a request, or name of a target or version.
        :param since: stamp after which the events begin.
        :param entries: addresses of instances, separated by commas.
        """
        return deferred.Deferred(
            lambda: trio.run(_timeline, entries, request, since)
        )

    def explain(self, request, *files):
        """Print the trace of a request from the logs of several instances.

        :param request: id of the request.
        :param files: paths of log files; standard input if there are none.
        """
        return deferred.Deferred(
            lambda: explain.explain(str(request), [str(f) for f in files])
        )

    def version(self):
        """Print the version."""
        return deferred.Deferred(lambda: savorycross.__version__)


def main(arguments=None):
    """Run a command line and return its exit status.

    :param arguments: list of texts; those of the process if None.
    """
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
    """Return the Deferred of a command line, or None if it printed help.

    :raises UsageError: if the command line is invalid or names no command.
    """
    captured = io.StringIO()
    os.environ.setdefault('PAGER', 'cat')
    try:
        with contextlib.redirect_stderr(captured):
            parsed = fire.Fire(
                Commands(),
                command=arguments,
                name='savorycross',
                serialize=lambda _: None,
            )
    except fire.core.FireExit as exc:
        if exc.code:
            raise errors.UsageError(_find_error_message(captured)) from None
        print(captured.getvalue())
        return None
    if isinstance(parsed, deferred.Deferred):
        return parsed
    raise errors.UsageError('no command given; see savorycross --help')


def _find_error_message(captured):
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
    # Only this command needs the server, which is slow to import.
    from savorycross.daemon import logs
    from savorycross.daemon import serve

    loaded = settings.load({k: _join_sequence(v) for k, v in flags.items()})
    logs.configure(loaded.log_format, loaded.log_level)
    try:
        trio.run(serve.serve, loaded)
    except* OSError as group:
        first_error = group.exceptions[0]
        raise errors.SettingsError(f'cannot listen: {first_error}') from None


def _join_sequence(value):
    """Return a sequence as comma-separated text, other values as they are.

    The ``fire`` library parses a flag with commas as a tuple or list.
    """
    if isinstance(value, (tuple, list)):
        return ','.join(map(str, value))
    return value


async def _query(workload, payload, deadline_ms, options, entries):
    seed_addresses = instances.split_entries(entries)
    async with clients.Client(seed_addresses) as client:
        return await client.query(
            str(workload), payload, _to_seconds(deadline_ms), **options
        )


async def _book(workload, payload, key, ticket, deadline_ms, entries):
    seed_addresses = instances.split_entries(entries)
    async with clients.Client(seed_addresses) as client:
        return await client.book(
            str(workload),
            payload,
            _to_seconds(deadline_ms),
            key=str(key),
            ticket=str(ticket),
        )


def _to_seconds(deadline_ms):
    if isinstance(deadline_ms, bool) or not isinstance(deadline_ms, int):
        raise errors.UsageError(
            f'deadline_ms {deadline_ms!r} is not a whole number'
        )
    return deadline_ms / 1000


async def _entries(entries):
    seed_addresses = instances.split_entries(entries)
    async with clients.Client(seed_addresses) as client:
        return await client.entries()


async def _status(entries, target):
    statuses = await instances.statuses(entries)
    if target is None:
        return {s.name: msgspec.to_builtins(s) for s in statuses}
    rows = {
        s.name: msgspec.to_builtins(t)
        for s in statuses
        for t in s.targets
        if t.name == str(target)
    }
    if not rows:
        raise errors.NotFoundError(f'no instance owns target {target!r}')
    return rows


async def _timeline(entries, subject, since):
    events = await instances.events(entries, subject, since)
    return [
        {
            'stamp': e.stamp,
            'ms': clock.milliseconds(e.stamp),
            'instance': e.instance,
            'kind': e.kind,
            'subject': e.subject,
            **e.fields,
        }
        for e in events
    ]


if __name__ == '__main__':
    sys.exit(main())
