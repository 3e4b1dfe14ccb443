"""Callers that send requests, wait, retry and leave."""

from standins.fleet import dialect
from standins.fleet import outcome as outcomes

# Delay of one way between a caller and an instance.
DELAY_S = 0.002
RECONNECT_S = 0.004
# Largest part of the remaining time that a caller waits before a retry.
MAX_RETRY_PART = 1 / 3


class Request:
    """One request of a caller over all its tries.

    :param fleet: Fleet.
    :param kind: pattern.Kind.
    :param number: number of the request.
    :param extra_tries: tries beyond those of the kind, made at once.
    :param leaves_after_s: seconds after which the caller leaves, or None.
    :param workspace: name of the caller's workspace, or an empty text.
    """

    def __init__(
        self, fleet, kind, number, extra_tries, leaves_after_s, workspace=''
    ):
        self._fleet = fleet
        self._kind = kind
        self._number = number
        self._workspace = workspace
        self._extra_tries = extra_tries
        self._started_at = fleet.scheduler.time
        self._end_at = self._started_at + kind.deadline_ms / 1000
        self._tries = 0
        self._avoided = set()
        self._refused_after_s = None
        self._is_over = False
        self._try_number = 0
        self._cancel = None
        call_at = fleet.scheduler.call_at
        self._timer = call_at(self._end_at, self._time_out)
        if leaves_after_s is not None:
            call_at(self._started_at + leaves_after_s, self._leave)

    def send(self):
        """Make a try at an instance that the directory lists."""
        if self._is_over:
            return
        fleet = self._fleet
        self._tries += 1
        self._try_number += 1
        number = self._try_number
        instance = fleet.choose_instance(self._avoided)
        if instance is None:
            self._retry_or_end(outcomes.Result.FAILED, None)
            return
        sent_at = fleet.scheduler.time
        id_ = b'%d.%d' % (self._number, self._tries)
        path = b'/%s/' % self._kind.name.encode()

        def respond(reply):
            held_s = fleet.scheduler.time - sent_at - DELAY_S
            fleet.scheduler.call_later(
                DELAY_S, lambda: self._on_reply(number, reply, held_s)
            )

        def arrive():
            if self._is_over or number != self._try_number:
                return
            remaining_s = self._end_at - fleet.scheduler.time
            if not instance.is_alive:
                self._avoided.add(instance.name)
                self._retry_or_end(outcomes.Result.FAILED, None)
                return
            request = instance.dialect.make_request(
                id_, path, remaining_s, fleet.scheduler.time, self._workspace
            )
            running = instance.handle(request, respond, self._on_cut)
            self._cancel = running and running.cancel

        fleet.scheduler.call_later(DELAY_S, arrive)

    def _on_cut(self):
        """Handle the end of the instance that had the try."""
        if not self._is_over:
            self._try_number += 1
            self._retry_or_end(outcomes.Result.FAILED, None)

    def _on_reply(self, number, reply, held_s):
        if self._is_over or number != self._try_number:
            return
        self._cancel = None
        if reply.status == 200:
            self._succeed(reply)
            return
        if reply.status == 503:
            self._refused_after_s = max(held_s, self._refused_after_s or 0.0)
            wait = reply.header(dialect.RETRY_AFTER)
            wait_s = float(wait) if wait is not None else 0.0
            self._retry_or_end(outcomes.Result.REFUSED, wait_s)
            return
        self._retry_or_end(outcomes.Result.FAILED, None)

    def _retry_or_end(self, result, wait_s):
        now = self._fleet.scheduler.time
        if self._extra_tries > 0:
            self._extra_tries -= 1
            self._tries -= 1
            wait_s = None
        elif self._tries > self._kind.retries:
            self._end(result)
            return
        if wait_s is None:
            wait_s = RECONNECT_S
        wait_s = min(wait_s, (self._end_at - now) * MAX_RETRY_PART)
        self._fleet.scheduler.call_later(wait_s, self.send)

    def _succeed(self, reply):
        kind = self._kind
        took_s = self._fleet.scheduler.time - self._started_at
        coverage = 1.0
        parts = reply.header(dialect.PARTS)
        if parts is not None:
            coverage = int(parts) / self._fleet.count_shards(kind.index)
        is_in_time = took_s <= kind.objective_ms / 1000
        credit = (1.0 if is_in_time else kind.late_weight) * coverage**2
        result = (
            outcomes.Result.IN_TIME if is_in_time else (outcomes.Result.LATE)
        )
        self._end(result, coverage, credit)

    def _time_out(self):
        if not self._is_over:
            if self._cancel is not None:
                self._cancel()
            self._end(outcomes.Result.FAILED)

    def _leave(self):
        if not self._is_over:
            if self._cancel is not None:
                self._cancel()
            self._end(outcomes.Result.LEFT)

    def _end(self, result, coverage=0.0, credit=0.0):
        self._is_over = True
        self._timer.cancel()
        now = self._fleet.scheduler.time
        self._fleet.outcomes.append(
            outcomes.Outcome(
                self._kind.name,
                self._started_at,
                now - self._started_at,
                result,
                coverage,
                credit,
                self._tries,
                self._refused_after_s,
                self._workspace,
            )
        )
