"""The ``savorycross sheet`` commands."""

import functools
import getpass
import os
import pathlib
import time
import uuid

import trio

from savorycross.cli import deferred
from savorycross.cli import instances
from savorycross import errors
from savorycross import host_port
from savorycross import settings
from savorycross.sheet import check
from savorycross.sheet import diff
from savorycross.sheet import publish
from savorycross.store import http

DEFAULT_PLATFORM = '127.0.0.1:7300'
WAIT_S = 30.0
POLL_INTERVAL_S = 0.2


class SheetCommands:
    """Check, compare and apply the operators' sheet, and show its status."""

    def check(self, file, encoding=None):
        """Check a sheet and print every invalid cell.

        :param file: path of the CSV file.
        :param encoding: name of its encoding, if not UTF-8 or UTF-16.
        """
        return deferred.Deferred(lambda: _check(file, encoding))

    def diff(self, file, platform=None, encoding=None):
        """Show what a sheet would change.

        :param file: path of the CSV file.
        :param platform: address of the platform's key-value service.
        :param encoding: name of the file's encoding, if not UTF-8 or UTF-16.
        """
        return deferred.Deferred(
            lambda: trio.run(_diff, file, platform, encoding)
        )

    def apply(
        self,
        file,
        platform=None,
        author=None,
        base=None,
        allow_shrink=False,
        wait=False,
        entries=None,
        encoding=None,
    ):
        """Apply a sheet, either in full or not at all.

        :param file: path of the CSV file.
        :param platform: address of the platform's key-value service.
        :param author: name of the operator; the user's name by default.
        :param base: version that the sheet is based on; the sheet is refused
            if another version has been accepted since.
        :param allow_shrink: allow most open targets to be removed or closed.
        :param wait: wait until all live instances have adopted the version.
        :param entries: addresses of instances, separated by commas, that
            are told of the version and, with --wait, asked for theirs.
        :param encoding: name of the file's encoding, if not UTF-8 or UTF-16.
        """
        options = publish.PublishOptions(base, allow_shrink)
        return deferred.Deferred(
            lambda: trio.run(
                _apply,
                file,
                platform,
                author,
                options,
                wait,
                entries,
                encoding,
            )
        )

    def status(self, platform=None, entries=None):
        """Show the accepted version and the version of each instance.

        :param platform: address of the platform's key-value service.
        :param entries: addresses of instances, separated by commas.
        """
        return deferred.Deferred(lambda: trio.run(_status, platform, entries))


def make_store(platform):
    """Return the HttpStore at an address.

    :param platform: address of the platform's key-value service; if empty,
        it comes from the environment variable ``SAVORYCROSS_PLATFORM``, or
        else is ``DEFAULT_PLATFORM``.
    :raises UsageError: if it is not an IP address with a port.
    """
    text = platform or os.environ.get(
        settings.PREFIX + 'PLATFORM', DEFAULT_PLATFORM
    )
    try:
        return http.HttpStore(host_port.split(str(text)))
    except ValueError as exc:
        raise errors.UsageError(f'platform {text!r}: {exc}') from exc


def _read_sheet(file, encoding):
    try:
        data = pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise errors.UsageError(f'{file}: {exc.strerror}') from exc
    return check.check(data, encoding)


def _check(file, encoding):
    catalogue = _read_sheet(file, encoding)
    return {
        'valid': True,
        'data_centres': len(catalogue.data_centres),
        'services': len(catalogue.services),
        'targets': len(catalogue.targets),
        'workloads': len(catalogue.workloads),
        'digest': catalogue.digest,
    }


async def _diff(file, platform, encoding):
    new_catalogue = _read_sheet(file, encoding)
    store = make_store(platform)
    manifest, _ = await publish.read_manifest(store)
    current = await publish.read_catalogue(store, manifest)
    changes = [str(c) for c in diff.diff(current, new_catalogue)]
    await store.aclose()
    return {'base': manifest.version, 'changes': changes}


async def _apply(file, platform, author, options, wait, entries, encoding):
    new_catalogue = _read_sheet(file, encoding)
    store = make_store(platform)
    accepted = await publish.publish(
        store,
        new_catalogue,
        str(author or getpass.getuser()),
        uuid.uuid4().hex,
        options,
        time.time(),
        functools.partial(instances.announce, entries),
    )
    await store.aclose()
    if wait:
        await wait_in_force(accepted.version, entries)
    return accepted


async def wait_in_force(version, entries):
    """Wait until all live instances have adopted a version, or a newer one.

    :param version: version number of a catalogue.
    :param entries: addresses of instances, separated by commas.
    :raises LaggardsError: if some have not within ``WAIT_S`` seconds; its
        message names them.
    """
    deadline = trio.current_time() + WAIT_S
    while True:
        laggards = await _find_laggards(version, entries)
        if not laggards:
            return
        if trio.current_time() >= deadline:
            raise errors.LaggardsError(
                f'version {version} is accepted, but not yet in force on '
                + ', '.join(laggards)
            )
        await trio.sleep(POLL_INTERVAL_S)


async def _find_laggards(version, entries):
    """Return the sorted names of instances that have an older version."""
    statuses = await instances.statuses(entries)
    versions = {s.name: s.config_version for s in statuses}
    for status in statuses:
        for peer in status.peers:
            versions.setdefault(peer.name, peer.config_version)
    return sorted(n for n, v in versions.items() if v < version)


async def _status(platform, entries):
    store = make_store(platform)
    manifest, _ = await publish.read_manifest(store)
    await store.aclose()
    statuses = await instances.statuses(entries)
    return {
        'accepted': manifest.version,
        'author': manifest.author,
        'digest': manifest.digest,
        'in_force': {s.name: s.config_version for s in statuses},
    }
