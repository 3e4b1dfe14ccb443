"""The ledger that keeps a booking from running twice under one ticket.

It does no input or output.
"""

import collections
import dataclasses
import enum

TICKET_VALID_S = 300.0
RETENTION_S = 900.0
MAX_ENTRIES = 200_000


class Outcome(enum.StrEnum):
    """The known outcome of a booking."""

    RUNNING = 'running'
    RAN = 'ran'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown_outcome'


class Step(enum.StrEnum):
    """What to do with a booking that arrives under a ticket.

    RUN: run it. WAIT: it is running, wait for its outcome. ANSWER: answer
    with the known outcome.
    """

    RUN = 'run'
    WAIT = 'wait'
    ANSWER = 'answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do with a booking, and its outcome as far as it is known.

    :param body: the target's answer, if the booking ran.
    """

    step: Step
    outcome: Outcome = Outcome.RUNNING
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class _Entry:
    """A booking that has been begun.

    :param begun_at: runtime clock, seconds.
    """

    outcome: Outcome
    begun_at: float
    body: bytes = b''


class Ledger:
    """Remembers the outcome of each booking that was begun.

    A ticket may begin a booking until ``TICKET_VALID_S`` after its issue. An
    entry is kept for longer than ``RETENTION_S`` after the issue of its
    ticket. So a ticket without an entry that is older than ``TICKET_VALID_S``
    but not older than ``RETENTION_S`` was never used: its booking has not
    run. For an older ticket the outcome is unknown.

    :param max_entries: largest number of bookings remembered at once.
    """

    def __init__(self, max_entries=MAX_ENTRIES):
        self._entries = {}
        self._order = collections.deque()
        self._max_entries = max_entries

    def __len__(self):
        return len(self._entries)

    def has_capacity(self, now):
        """Return whether one more booking can be remembered."""
        self._remove_expired(now)
        return len(self._entries) < self._max_entries

    def begin(self, number, issued_at, now):
        """Return the Decision on a booking that arrives under a ticket.

        RUN is returned once, and again only after ``finish`` with NOT_RUN
        while the ticket is valid.

        :param number: number of the ticket.
        :param issued_at: time of the ticket's issue; runtime clock, seconds.
        :param now: runtime clock, seconds.
        """
        self._remove_expired(now)
        entry = self._entries.get(number)
        if entry is None:
            return self._begin_new(number, issued_at, now)
        if entry.outcome is Outcome.RUNNING:
            return Decision(Step.WAIT)
        if (
            entry.outcome is Outcome.NOT_RUN
            and now < issued_at + TICKET_VALID_S
        ):
            entry.outcome = Outcome.RUNNING
            return Decision(Step.RUN)
        return Decision(Step.ANSWER, entry.outcome, entry.body)

    def _begin_new(self, number, issued_at, now):
        age_s = now - issued_at
        if age_s >= RETENTION_S:
            return Decision(Step.ANSWER, Outcome.UNKNOWN)
        if age_s >= TICKET_VALID_S or len(self._entries) >= self._max_entries:
            return Decision(Step.ANSWER, Outcome.NOT_RUN)
        self._entries[number] = _Entry(Outcome.RUNNING, now)
        self._order.append(number)
        return Decision(Step.RUN)

    def finish(self, number, outcome, body=b''):
        """Record the outcome of a booking that was begun; RAN is final."""
        entry = self._entries.get(number)
        if entry is None or entry.outcome is Outcome.RAN:
            return
        entry.outcome = outcome
        entry.body = body

    def look_up(self, number):
        """Return the Decision on a booking without beginning it."""
        entry = self._entries.get(number)
        if entry is None:
            return Decision(Step.ANSWER, Outcome.UNKNOWN)
        return Decision(Step.ANSWER, entry.outcome, entry.body)

    def _remove_expired(self, now):
        """Remove the entries whose retention has ended, oldest first."""
        while self._order:
            number = self._order[0]
            if (
                now
                < self._entries[number].begun_at + RETENTION_S + TICKET_VALID_S
            ):
                return
            self._order.popleft()
            del self._entries[number]
