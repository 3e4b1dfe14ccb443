"""Reporting of unexpected exceptions.

Such an exception is an error in this program; it ends only the task or
callback that raised it, or the process if there is none that it could end.
"""

import contextlib
import traceback

import loguru

# The lines of a trace that are logged, the last ones.
MAX_TRACE_LINES = 6
MAX_END_TRACE_LINES = 40


def report(where, exc):
    """Log an unexpected exception with its traceback.

    :param where: where the exception occurred, such as ``timer``.
    """
    _write('internal.error', exc, MAX_TRACE_LINES, where=where)


def report_end(exc):
    """Log the exception that ends the process.

    :param exc: any BaseException.
    """
    _write('instance.failed', exc, MAX_END_TRACE_LINES)


@contextlib.contextmanager
def contained(where):
    """Report an exception that the block raises, and go on after it.

    :param where: see ``report``.
    """
    try:
        yield
    except Exception as exc:
        report(where, exc)


def _write(event, exc, max_lines, **fields):
    # Neither an exception that cannot be formatted nor the lack of memory to
    # do so may end what goes on after the report.
    try:
        error = repr(exc)
        trace = ''.join(traceback.format_exception(exc)[-max_lines:])
    except Exception as format_exc:
        error = type(exc).__name__
        trace = f'not available: {type(format_exc).__name__}'
    with contextlib.suppress(Exception):
        loguru.logger.error(event, error=error, trace=trace, **fields)
