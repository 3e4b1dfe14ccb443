"""What has become of the bookings under this instance's tickets.

No input or output happens here.
"""

import collections
import dataclasses
import enum

TICKET_VALID_S = 300.0
MEMORY_S = 900.0
MAX_ENTRIES = 200_000


class Outcome(enum.StrEnum):
    """What is known of a booking."""

    RUNNING = 'running'
    RAN = 'ran'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown_outcome'


class Step(enum.StrEnum):
    """What to do with a booking that arrives under a ticket."""

    RUN = 'run'
    WAIT = 'wait'
    ANSWER = 'answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The step for a booking, with the outcome where it is known."""

    step: Step
    outcome: Outcome = Outcome.RUNNING
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class _Entry:
    """A booking that was run or is running."""

    outcome: Outcome
    begun: float
    body: bytes = b''


class Ledger:
    """Remembers the bookings that were begun, for ``MEMORY_S``.

    A ticket may begin a booking for ``TICKET_VALID_S`` after its issue,
    which is shorter: a ticket that is too old and not remembered, but whose
    booking would still be remembered, was never run.

    :param max_entries: bookings remembered at once.
    """

    def __init__(self, max_entries=MAX_ENTRIES):
        self._entries = {}
        self._order = collections.deque()
        self._max_entries = max_entries

    def __len__(self):
        return len(self._entries)

    def has_room(self, now):
        """Tell whether a further booking can be remembered."""
        self._forget(now)
        return len(self._entries) < self._max_entries

    def begin(self, number, issued, now):
        """Return the Decision on a booking.

        RUN is returned once, and again only after NOT_RUN was noted.

        :param number: number of the ticket.
        :param issued: when it was issued; runtime clock, seconds.
        """
        self._forget(now)
        entry = self._entries.get(number)
        if entry is None:
            return self._begin_new(number, issued, now)
        if entry.outcome is Outcome.RUNNING:
            return Decision(Step.WAIT)
        if entry.outcome is Outcome.NOT_RUN and now < issued + TICKET_VALID_S:
            entry.outcome = Outcome.RUNNING
            return Decision(Step.RUN)
        return Decision(Step.ANSWER, entry.outcome, entry.body)

    def _begin_new(self, number, issued, now):
        age = now - issued
        if age >= MEMORY_S:
            return Decision(Step.ANSWER, Outcome.UNKNOWN)
        if age >= TICKET_VALID_S or len(self._entries) >= self._max_entries:
            return Decision(Step.ANSWER, Outcome.NOT_RUN)
        self._entries[number] = _Entry(Outcome.RUNNING, now)
        self._order.append(number)
        return Decision(Step.RUN)

    def finish(self, number, outcome, body=b''):
        """Note what has become of a booking that was begun."""
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

    def _forget(self, now):
        """Drop the entries whose memory has ended, oldest first."""
        while self._order:
            number = self._order[0]
            if now < self._entries[number].begun + MEMORY_S + TICKET_VALID_S:
                return
            self._order.popleft()
            del self._entries[number]
