"""Reports errors of the program itself, which end one task and no more."""

import traceback

import loguru


def report(where, exc):
    """Log an unexpected exception with its trace.

    :param where: what was done, such as ``timer``.
    """
    trace = traceback.format_exception(exc)
    loguru.logger.error(
        'internal.error',
        where=where,
        error=repr(exc),
        trace=''.join(trace[-6:]),
    )
