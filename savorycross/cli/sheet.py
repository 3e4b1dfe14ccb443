"""The ``sheet`` commands."""

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
WAIT_POLL_S = 0.2


class SheetCommands:
    """Check, compare, apply and follow the operators' sheet."""

    def check(self, file, encoding=None):
        """Check a sheet: prints every invalid cell.

        :param file: path of the CSV file.
        :param encoding: name of its encoding, if not UTF-8 or UTF-16.
        """
        return deferred.Deferred(lambda: _check(file, encoding))

    def diff(self, file, platform=None, encoding=None):
        """Show what a sheet would change.

        :param file: path of the CSV file.
        :param platform: address of the platform's key-value service.
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
        """Apply a sheet: all of it, or nothing.

        :param file: path of the CSV file.
        :param platform: address of the platform's key-value service.
        :param author: who applies it; the user's name by default.
        :param base: version it is based on; refused if there is a newer.
        :param allow_shrink: whether most targets may be taken out.
        :param wait: wait until all instances report it in force.
        :param entries: addresses of instances, for --wait.
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
        """Show the accepted version, and which one each instance has.

        :param platform: address of the platform's key-value service.
        :param entries: addresses of instances, separated by commas.
        """
        return deferred.Deferred(lambda: trio.run(_status, platform, entries))


def make_store(platform):
    """Return the Store at an address, from the environment by default."""
    text = platform or os.environ.get(
        settings.PREFIX + 'PLATFORM', DEFAULT_PLATFORM
    )
    try:
        return http.HttpStore(host_port.split(str(text)))
    except ValueError as exc:
        raise errors.UsageError(f'platform {text!r}: {exc}') from exc


def _read(file, encoding):
    try:
        data = pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise errors.UsageError(f'{file}: {exc.strerror}') from exc
    return check.check(data, encoding)


def _check(file, encoding):
    found = _read(file, encoding)
    return {
        'valid': True,
        'data_centres': len(found.data_centres),
        'services': len(found.services),
        'targets': len(found.targets),
        'workloads': len(found.workloads),
        'digest': found.digest,
    }


async def _diff(file, platform, encoding):
    made = _read(file, encoding)
    store = make_store(platform)
    manifest, _ = await publish.read_manifest(store)
    current = await publish.read_catalogue(store, manifest)
    changes = [str(c) for c in diff.diff(current, made)]
    await store.aclose()
    return {'base': manifest.version, 'changes': changes}


async def _apply(file, platform, author, options, wait, entries, encoding):
    made = _read(file, encoding)
    store = make_store(platform)
    accepted = await publish.publish(
        store,
        made,
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
    """Wait until all live instances report a version.

    :raises LaggardsError: naming those that do not in time.
    """
    deadline = trio.current_time() + WAIT_S
    while True:
        behind = await _behind(version, entries)
        if not behind:
            return
        if trio.current_time() >= deadline:
            raise errors.LaggardsError(
                f'version {version} is accepted, but not yet in force on '
                + ', '.join(behind)
            )
        await trio.sleep(WAIT_POLL_S)


async def _behind(version, entries):
    """Return the names of instances with an older version."""
    found = await instances.statuses(entries)
    versions = {s.name: s.config_version for s in found}
    for status in found:
        for peer in status.peers:
            versions.setdefault(peer.name, peer.config_version)
    return sorted(n for n, v in versions.items() if v < version)


async def _status(platform, entries):
    store = make_store(platform)
    manifest, _ = await publish.read_manifest(store)
    await store.aclose()
    found = await instances.statuses(entries)
    return {
        'accepted': manifest.version,
        'author': manifest.author,
        'digest': manifest.digest,
        'in_force': {s.name: s.config_version for s in found},
    }
