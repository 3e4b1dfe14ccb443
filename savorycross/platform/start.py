"""Starts an instance: ``python3 -S savorycross/platform/start.py PORT``.

A signal whose default action ends the process does so until the first
statement below. The interpreter therefore runs this file, not a module, which
would load the package and ``runpy`` before, and leaves out ``site`` (``-S``),
which runs here. ``_signal`` is loaded with the interpreter; ``signal`` isn't.
"""

import _signal
import sys

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


def start():
    """Run the program; return the exit status of the process."""
    import os

    root = os.path.abspath(os.path.join(__file__, '../../..'))
    if sys.flags.safe_path:
        sys.path.insert(0, root)
    else:
        # The folder of this file, which the interpreter puts there, would
        # hide modules of the standard library.
        sys.path[0] = root
    # Until the instance handles the signal there is no request to finish.
    _signal.signal(_signal.SIGTERM, lambda number, frame: os._exit(0))
    import site

    if sys.flags.no_site:
        site.main()
    from savorycross.platform import __main__ as program

    return program.main(sys.argv[1:])


def exit_now(status):
    """End the process without the interpreter's clean-up.

    The clean-up takes longer than all else at the end of a planned stop, so
    that a slow machine would still be busy with it when the process is killed.
    """
    import os

    for stream in (sys.stdout, sys.stderr):
        stream.flush()
    os._exit(status)


if __name__ == '__main__':
    exit_now(start())
