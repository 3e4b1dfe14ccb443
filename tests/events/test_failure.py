"""Reports of unexpected exceptions."""

import loguru

from savorycross.events import failure


class Unprintable(Exception):
    """An exception that fails when it is formatted."""

    def __repr__(self):
        raise RuntimeError('no text')

    __str__ = __repr__


# Guards against a report that ends the task that it is to keep alive.
def test_exception_that_cannot_be_formatted_is_reported():
    lines = []
    handler = loguru.logger.add(lambda message: lines.append(message.record))
    try:
        failure.report('tested', Unprintable())
    finally:
        loguru.logger.remove(handler)
    (line,) = lines
    assert line['extra']['error'] == 'Unprintable'


def test_failing_sink_does_not_fail_the_report():
    def fail(message):
        raise RuntimeError('sink')

    handler = loguru.logger.add(fail, catch=False)
    try:
        with failure.contained('tested'):
            raise ValueError('kept inside')
    finally:
        loguru.logger.remove(handler)
