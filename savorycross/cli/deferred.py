"""Commands that run only once the whole command line has been parsed."""


class Deferred:
    """A command and its arguments, to be run later.

    The ``fire`` library calls a command's function before it detects that
    further arguments are invalid. A booking must not be sent in that case.

    :param call: callable without parameters that runs the command.
    """

    __slots__ = ('_call',)

    def __init__(self, call):
        self._call = call

    def __str__(self):
        """Return an empty text, as there is no result to print yet."""
        return ''


def run(deferred):
    """Run a deferred command and return its result."""
    return deferred._call()
