"""Keeps the process alive when one of its tasks fails unexpectedly."""

import trio

from savorycross.events import failure
from savorycross.forward import backoff

MIN_RESTART_S = 0.1
MAX_RESTART_S = 2.0


class Supervisor:
    """Runs tasks, and starts those again that raise or return.

    An error in one of them ends only that task, and is logged and counted.

    :param metrics: metrics.registry.Registry.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    async def keep_running(self, name, task):
        """Run a task until cancelled.

        :param name: name of the task, for logs and metrics.
        :param task: async function without arguments.
        """
        failures = 0
        while True:
            started_at = trio.current_time()
            try:
                await task()
            except* Exception as group:
                _report_all(name, group)
            self._metrics.count('task_restarts', task=name)
            if trio.current_time() - started_at > MAX_RESTART_S:
                failures = 0
            delay_s = backoff.exponential(
                MIN_RESTART_S, MAX_RESTART_S, failures
            )
            failures += 1
            await trio.sleep(delay_s)


class GuardedNursery:
    """Starts tasks in a nursery that an error in one of them does not cancel.

    The error ends only its task, and is logged and counted. It stands in for
    a trio nursery, as far as starting tasks goes.

    :param nursery: trio nursery that runs the tasks.
    :param metrics: metrics.registry.Registry.
    """

    def __init__(self, nursery, metrics):
        self._nursery = nursery
        self._metrics = metrics

    def start_soon(self, task, *arguments):
        """Start a task; see ``trio.Nursery.start_soon``.

        :param task: async function.
        """
        self._nursery.start_soon(self._run, task, arguments, name=task)

    async def _run(self, task, arguments):
        try:
            await task(*arguments)
        except* Exception as group:
            name = getattr(task, '__qualname__', type(task).__name__)
            self._metrics.count('task_failures', task=name)
            _report_all(name, group)


def _report_all(name, group):
    """Report the errors that a task raised, one or several at once.

    :param group: ExceptionGroup of them.
    """
    for exc in group.exceptions:
        failure.report(name, exc)
