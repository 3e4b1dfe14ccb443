"""Runs an instance with the settings that the platform gives.

Usage: python -m savorycross.platform METRICS_PORT
"""

import functools
import signal
import sys

from savorycross import errors


def main(arguments):
    """Run until the stop signal and return the exit status."""
    # A reload signal before the instance listens for it, or after, must
    # not end the process. Imports take time, so they come later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Before it listens there is nothing to finish.
    signal.signal(signal.SIGTERM, _end)
    import trio

    from savorycross.events import log
    from savorycross.gateway import instance
    from savorycross.platform import adapter
    from savorycross.platform import settings

    log.configure()
    try:
        read_site = functools.partial(settings.read_site, _port(arguments))
        site = read_site()
    except errors.SavorycrossError as exc:
        print(f'savorycross: {exc.code}: {exc.message}', file=sys.stderr)
        return exc.exit_status
    trio.run(instance.serve, site, adapter, read_site)
    return 0


def _end(number, frame):
    sys.exit(0)


def _port(arguments):
    """Return the one argument, a TCP port.

    :raises UsageError: if there is none, or anything else.
    """
    if len(arguments) != 1 or not arguments[0].isdigit():
        raise errors.UsageError('usage: savorycross.platform METRICS_PORT')
    port = int(arguments[0])
    if not 1 <= port <= 65535:
        raise errors.UsageError(f'port {port} is not from 1 to 65535')
    return port


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
