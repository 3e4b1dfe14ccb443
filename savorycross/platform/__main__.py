"""Runs an instance with the settings of the platform.

The platform runs ``start``, which calls this; so does
``python -m savorycross.platform METRICS_PORT``.
"""

import functools
import os
import signal
import sys
import time

from savorycross import errors

# Time for a settings file that is being written at the start to be complete.
SETTINGS_WAIT_S = 3.0
SETTINGS_RETRY_INTERVAL_S = 0.1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main(arguments):
    """Run an instance until it is told to stop.

    :param arguments: command line arguments without the program's name.
    :returns: exit status of the process.
    """
    # A reload signal must not end the process while the instance has no
    # handler for it, at the start or at the end. The slow imports follow.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Until the instance handles these signals there is no request to finish.
    for number in STOP_SIGNALS:
        signal.signal(number, _exit)
    # A parent that blocks signals hands that on.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, *STOP_SIGNALS})
    import trio

    from savorycross.events import failure
    from savorycross.events import log
    from savorycross.gateway import instance
    from savorycross.platform import adapter
    from savorycross.platform import settings

    log.configure()
    try:
        read_settings = functools.partial(
            settings.read_settings, _parse_port(arguments)
        )
        instance_settings = _read_when_complete(read_settings)
        trio.run(instance.serve, instance_settings, adapter, read_settings)
    except errors.SavorycrossError as exc:
        failure.report_end(exc)
        print(f'savorycross: {exc.code}: {exc.message}', file=sys.stderr)
        return exc.exit_status
    except BaseException as exc:
        failure.report_end(exc)
        raise
    # The interpreter would restore the default action, which ends the process
    # with another status, while it ends anyway.
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    return 0


def _exit(number, frame):
    # An exception would be raised in whatever code runs, the event loop's own
    # included, which fails then.
    os._exit(0)


def _read_when_complete(read_settings):
    """Return the settings, which may still be written at the start.

    :raises SettingsError: if they stay invalid.
    """
    end_at = time.monotonic() + SETTINGS_WAIT_S
    while True:
        try:
            return read_settings()
        except errors.SettingsError:
            if time.monotonic() >= end_at:
                raise
            time.sleep(SETTINGS_RETRY_INTERVAL_S)


def _parse_port(arguments):
    """Return the metrics port, the only argument.

    :raises UsageError: if the arguments are not exactly one TCP port.
    """
    if len(arguments) != 1 or not arguments[0].isdigit():
        raise errors.UsageError('usage: savorycross.platform METRICS_PORT')
    port = int(arguments[0])
    if not 1 <= port <= 65535:
        raise errors.UsageError(f'port {port} is not from 1 to 65535')
    return port


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
