"""Configuration of the logger."""

import sys

import loguru

_TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message} {extra}'


def configure(log_format, level):
    """Send log lines to standard error.

    :param log_format: ``text`` or ``json``.
    :param level: name of the lowest level that is logged.
    """
    loguru.logger.remove()
    if log_format == 'json':
        loguru.logger.add(sys.stderr, level=level.upper(), serialize=True)
        return
    loguru.logger.add(sys.stderr, level=level.upper(), format=_TEXT_FORMAT)


def make_logger(instance):
    """Return a logger that adds the name of an instance to its lines."""
    return loguru.logger.bind(instance=instance)
