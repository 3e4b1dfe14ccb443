"""Runs an instance with the settings that the platform gives."""

import sys

import trio

from savorycross import errors
from savorycross.events import log
from savorycross.gateway import instance
from savorycross.platform import adapter
from savorycross.platform import settings


def main():
    """Run until the stop signal and return the exit status."""
    log.configure()
    try:
        site = settings.read_site()
    except errors.SettingsError as exc:
        print(f'savorycross: {exc.code}: {exc.message}', file=sys.stderr)
        return exc.exit_status
    trio.run(instance.serve, site, adapter, settings.read_site)
    return 0


if __name__ == '__main__':
    sys.exit(main())
