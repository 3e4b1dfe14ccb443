"""A request that waits for a token of its workspace."""


class HeldRequest:
    """Implements ``wire.server.RunningRequest`` before and after the wait.

    :param workspace: Workspace of the request.
    :param until: runtime clock time until which it waits.
    :param start: callable that starts it and returns its operation or None.
    :param refuse: callable that takes the runtime clock time at which the
        caller is to return.
    :param now: callable that returns the runtime clock time in seconds.
    """

    def __init__(self, workspace, until, start, refuse, now):
        self.workspace = workspace
        self.until = until
        self.is_over = False
        self._start = start
        self._refuse = refuse
        self._now = now
        self._operation = None

    def start(self):
        """Start the request, as it has a token."""
        self.is_over = True
        self._operation = self._start()

    def refuse(self, return_at):
        """Refuse the request.

        :param return_at: runtime clock time at which the caller is to return.
        """
        self.is_over = True
        self._refuse(return_at)

    def cancel(self):
        """Abandon the request, as the caller is gone."""
        self.is_over = True
        if self._operation is not None:
            self._operation.cancel()

    def expire(self):
        """End the request, as no time is left."""
        if self._operation is not None:
            self._operation.expire()
        elif not self.is_over:
            self.refuse(self._now())
