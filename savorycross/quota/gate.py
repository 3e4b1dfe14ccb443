"""Lets requests wait for a token of their workspace before they run.

Load pattern: a workspace whose callers use few of the instances, so that most
tokens are with others. A request waits while they are asked, for a time that
is short against its objective, and is refused as soon as nobody has any.
"""

from savorycross.events import failure
from savorycross.quota import admission as admissions
from savorycross.quota import held

# Part of the latency objective for which a request waits for a token.
WAIT_PART = 0.2
# How often requests that wait are tried again without a reply.
RECHECK_INTERVAL_S = 0.01


class Gate:
    """The requests of all workspaces that wait for tokens.

    :param quotas: Quotas.
    :param timers: Timers.
    :param now: callable that returns the runtime clock time in seconds.
    """

    def __init__(self, quotas, timers, now):
        self._quotas = quotas
        self._timers = timers
        self._now = now
        self._lines = {}
        self._timed = set()
        quotas.subscribe(self._advance)

    def enter(self, workspace, until, start, refuse):
        """Start a request once it has a token, or refuse it.

        :param workspace: Workspace of the request, or None.
        :param until: runtime clock time until which it may wait.
        :param start: callable that starts it; it returns the operation, see
            ``wire.server.RunningRequest``, or None.
        :param refuse: callable that takes the runtime clock time at which
            the caller is to return.
        :returns: RunningRequest, or None if it was answered.
        """
        if workspace is None:
            return start()
        now = self._now()
        line = self._lines.get(workspace.name, [])
        admission = self._quotas.admit(workspace, until, now, ahead=len(line))
        if admission.outcome is admissions.Outcome.ADMITTED:
            return start()
        if admission.outcome is admissions.Outcome.REFUSED:
            refuse(admission.at)
            return None
        request = held.HeldRequest(
            workspace, admission.at, start, refuse, self._now
        )
        self._lines.setdefault(workspace.name, line).append(request)
        self._timers.call_at(
            request.until, lambda: self._advance(workspace.name)
        )
        self._schedule(workspace.name, now)
        return request

    def count_waiting(self):
        """Return the number of requests that wait."""
        return sum(map(len, self._lines.values()))

    def _advance(self, name):
        """Try the requests of a workspace that wait, in their order."""
        # A request that is refused at once gives its token back.
        line = self._lines.pop(name, [])
        while line:
            tried = len(line)
            left = self._try(line)
            line = left + self._lines.pop(name, [])
            if len(left) == tried:
                break
        if line:
            self._lines[name] = line

    def _try(self, line):
        """Admit or refuse requests of a line; return those that wait on."""
        left = []
        now = self._now()
        for number, request in enumerate(line):
            if request.is_over:
                continue
            admission = self._quotas.admit(
                request.workspace,
                request.until,
                now,
                ahead=len(left),
                behind=len(line) - number - 1,
            )
            if admission.outcome is admissions.Outcome.WAIT:
                left.append(request)
            elif admission.outcome is admissions.Outcome.ADMITTED:
                # An error must not leave those behind it without a reply.
                with failure.contained('start of a request'):
                    request.start()
            else:
                request.refuse(admission.at)
        return left

    def _schedule(self, name, now):
        if name in self._timed:
            return
        self._timed.add(name)
        self._timers.call_at(
            now + RECHECK_INTERVAL_S, lambda: self._recheck(name)
        )

    def _recheck(self, name):
        self._timed.discard(name)
        self._advance(name)
        if name in self._lines:
            self._schedule(name, self._now())
