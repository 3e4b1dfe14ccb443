"""Reporting of unexpected exceptions.

Such an exception is an error in this program; it ends only the task or
callback that raised it.
"""

import traceback

import loguru


def report(where, exc):
    """Log an unexpected exception with its traceback.

    :param where: where the exception occurred, such as ``timer``.
    """
    trace = traceback.format_exception(exc)
    loguru.logger.error(
        'internal.error',
        where=where,
        error=repr(exc),
        trace=''.join(trace[-6:]),
    )
