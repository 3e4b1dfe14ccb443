"""Coordination of the bookings that this instance takes or forwards."""

import dataclasses
import itertools

import msgspec
import trio
import xxhash

from savorycross.booking import ledger as ledgers
from savorycross.booking import ticket as tickets
from savorycross import decoding
from savorycross import errors
from savorycross.peer import messages
from savorycross.relay import job as jobs

ANSWER_MARGIN_S = 0.01
OWNER_MARGIN_S = 0.04
MAX_OWNERS_TRIED = 3
# Pause before owners are tried again after all of them refused a booking
# because ownership moves.
OWNER_RETRY_INTERVAL_S = 0.05
# Causes with which an instance refuses a booking that another one, or the
# same one a little later, may run.
_MOVED_CAUSES = (
    str(jobs.Cause.NO_TARGET),
    str(jobs.Cause.NO_REPLICA),
    str(jobs.Cause.OWNER_LOST),
)
_result_decoder = msgspec.json.Decoder()


@dataclasses.dataclass(frozen=True)
class Booking:
    """A caller's request for a booking.

    :param key: the caller's idempotency key; empty if it gave a ticket only.
    :param payload: passed to the target as it is.
    :param deadline: runtime clock, seconds.
    """

    request_id: str
    workload: str
    key: str
    payload: bytes
    deadline: float


@dataclasses.dataclass(frozen=True)
class BookingResult:
    """The outcome of a booking, as far as it is known.

    :param ticket: ticket under which the booking was made.
    :param body: the target's answer, if the booking ran.
    :param message: reason, if the booking did not run or is unknown.
    """

    outcome: ledgers.Outcome
    ticket: str
    body: bytes = b''
    message: str = ''


@dataclasses.dataclass(slots=True)
class _PendingCall:
    """A message to a peer whose answer has not arrived.

    :param peer: name of the instance.
    :param done: set on the answer, on loss of the peer, or after the
        deadline.
    :param answer: ShardResult or Reply; None if there is no answer.
    """

    peer: str
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    answer: object = None


class BookingCoordinator:
    """Runs bookings at most once.

    Only the process that issued a ticket sends its booking to owners, to one
    at a time; other instances forward the booking to that process.

    :param own: this instance's Member.
    :param secret: key for the TicketIssuer, as bytes.
    :param idempotency_keys: IdempotencyKeys.
    :param router: BookingRouter.
    :param send: callable of an instance's name and a message; returns False
        if the message cannot be sent.
    :param part_ids: iterator of part ids, unique on this instance.
    :param journal: Journal.
    :param wall: callable that returns the wall clock, in seconds since the
        epoch.
    :param nursery: runs bookings to their end, even if their callers
        disconnect.
    """

    def __init__(
        self,
        own,
        secret,
        idempotency_keys,
        router,
        send,
        part_ids,
        journal,
        wall,
        nursery,
    ):
        self.ledger = ledgers.Ledger()
        self._own = own
        self._ticket_issuer = tickets.TicketIssuer(
            own.name, own.incarnation, secret
        )
        self._idempotency_keys = idempotency_keys
        self._router = router
        self._send = send
        self._part_ids = part_ids
        self._call_ids = itertools.count(1)
        self._journal = journal
        self._wall = wall
        self._nursery = nursery
        self._part_calls = {}
        self._forwarded_calls = {}
        self._ended_events = {}
        self.in_progress = 0
        self._is_issuing = True

    def issue(self):
        """Return a new ticket as text.

        :raises OverloadedError: if the ledger is full.
        :raises NotReadyError: if the instance is stopping.
        """
        if not self._is_issuing:
            raise errors.NotReadyError('stopping: no more tickets')
        if not self.ledger.has_capacity(trio.current_time()):
            raise errors.OverloadedError('too many recent bookings')
        return self._ticket_issuer.issue(int(self._wall() * 1000))

    def stop_issuing(self):
        """Issue no more tickets, because this process is stopping."""
        self._is_issuing = False

    async def book(self, booking, ticket):
        """Run a booking, or look up its outcome, and return a BookingResult.

        :param booking: Booking.
        :param ticket: ticket as text; empty if the booking's idempotency key
            is to be bound to one.
        :raises TicketInvalidError: if the ticket is malformed or forged.
        :raises BookingNotRunError: if the key cannot be bound to a ticket.
        :raises OverloadedError: if the ledger is full.
        :raises NotReadyError: if the instance is stopping.
        """
        self.in_progress += 1
        try:
            if not ticket:
                ticket = await self._claim_key(booking)
            parsed = tickets.parse(ticket)
            if self._ticket_issuer.is_own(parsed):
                return await self._book_own(booking, parsed, ticket)
            return await self._forward(booking, parsed, ticket)
        finally:
            self.in_progress -= 1

    async def _claim_key(self, booking):
        """Return the ticket that is bound to a booking's idempotency key."""
        with trio.move_on_at(booking.deadline - ANSWER_MARGIN_S):
            new_ticket = self.issue()
            return await self._idempotency_keys.claim(
                booking.workload, booking.key, new_ticket
            )
        raise errors.BookingNotRunError('the store did not answer in time')

    async def _book_own(self, booking, parsed, ticket):
        """Run a booking whose ticket names this process.

        :param parsed: the Ticket that ``ticket`` encodes.
        """
        if not self._ticket_issuer.verify(parsed, ticket):
            raise errors.TicketInvalidError('this ticket was never issued')
        now = trio.current_time()
        issued_at = now - (self._wall() - parsed.issued_ms / 1000)
        decision = self.ledger.begin(parsed.number, issued_at, now)
        self._journal.record(
            'booking.arrived', booking.request_id, step=decision.step
        )
        if decision.step is ledgers.Step.ANSWER:
            return BookingResult(decision.outcome, ticket, decision.body)
        if decision.step is ledgers.Step.RUN:
            self._nursery.start_soon(
                self._run_at_owners, booking, parsed.number
            )
        await self._wait_for_end(booking, parsed.number)
        return self._make_result(parsed.number, ticket)

    def _make_result(self, number, ticket):
        """Return a BookingResult; a booking in progress is unknown."""
        decision = self.ledger.look_up(number)
        outcome = decision.outcome
        if outcome is ledgers.Outcome.RUNNING:
            outcome = ledgers.Outcome.UNKNOWN
        return BookingResult(outcome, ticket, decision.body)

    async def _wait_for_end(self, booking, number):
        """Wait until the booking has ended or its deadline is near."""
        event = self._ended_events.setdefault(number, trio.Event())
        with trio.move_on_at(booking.deadline - ANSWER_MARGIN_S):
            await event.wait()

    async def _run_at_owners(self, booking, number):
        """Send the booking to owners until one may have run it.

        During a change of owners each of them may refuse it for a moment,
        so they are tried again until the deadline is near.
        """
        end_at = booking.deadline - OWNER_MARGIN_S
        key = booking.key or number
        is_moving = True
        while is_moving:
            is_moving = False
            owners = self._router.route(booking.workload, key)
            for owner, placement in owners[:MAX_OWNERS_TRIED]:
                remaining_s = end_at - trio.current_time()
                if remaining_s <= 0:
                    break
                refusal = await self._run_at_owner(
                    owner, placement, booking, number, remaining_s
                )
                if refusal is None:
                    return
                is_moving |= refusal in _MOVED_CAUSES
            retry_at = trio.current_time() + OWNER_RETRY_INTERVAL_S
            if retry_at >= end_at:
                break
            if is_moving:
                await trio.sleep_until(retry_at)
        self._finish(booking, number, ledgers.Outcome.NOT_RUN)

    async def _run_at_owner(
        self, owner, placement, booking, number, remaining_s
    ):
        """Send the booking to an owner and wait for its answer.

        :param remaining_s: seconds that the owner has for the booking.
        :returns: the cause for which the booking certainly has not run at
            this owner, or None if it may have run.
        """
        part_id = next(self._part_ids)
        call = _PendingCall(owner)
        self._part_calls[part_id] = (call, booking, number)
        message = messages.Part(
            part_id=part_id,
            request_id=booking.request_id,
            replica_sets=(placement.replica_set,),
            shards=(placement.shard,),
            version=0,
            epoch=0,
            priority=placement.priority,
            deadline_ms=remaining_s * 1000,
            flush_ms=0.0,
            payload=booking.payload,
            repeatable=False,
        )
        self._journal.record(
            'booking.sent', booking.request_id, owner=owner, part=part_id
        )
        if not self._send(owner, message):
            del self._part_calls[part_id]
            return str(jobs.Cause.OWNER_LOST)
        with trio.move_on_at(booking.deadline):
            await call.done.wait()
        if call.answer is None:
            call.done.set()
            self._finish(booking, number, ledgers.Outcome.UNKNOWN)
            return None
        return call.answer.cause if call.answer.ran == 0 else None

    def handle_part_answer(self, answer):
        """Record the outcome that an owner's PartAnswer reports.

        An answer that arrives after the deadline still settles the outcome.

        :returns: False if the answer is not for a booking.
        """
        pending = self._part_calls.pop(answer.part_id, None)
        if pending is None:
            return False
        call, booking, number = pending
        result = answer.results[0]
        call.answer = result
        if result.ran == 1 and not result.cause:
            self._finish(booking, number, ledgers.Outcome.RAN, result.body)
        elif result.ran == 0:
            if call.done.is_set():
                self._finish(booking, number, ledgers.Outcome.NOT_RUN)
        else:
            self._finish(booking, number, ledgers.Outcome.UNKNOWN)
        call.done.set()
        return True

    def _finish(self, booking, number, outcome, body=b''):
        """Record an outcome and wake the requests that wait for it."""
        self.ledger.finish(number, outcome, body)
        self._journal.record(
            'booking.ended', booking.request_id, outcome=outcome
        )
        event = self._ended_events.pop(number, None)
        if event is not None:
            event.set()

    async def _forward(self, booking, parsed, ticket):
        """Forward a booking to the process that issued its ticket."""
        if not self._router.is_running(parsed.instance, parsed.incarnation):
            return BookingResult(
                ledgers.Outcome.UNKNOWN,
                ticket,
                message=f'instance {parsed.instance} has ended',
            )
        call_id = next(self._call_ids)
        call = _PendingCall(parsed.instance)
        self._forwarded_calls[call_id] = call
        remaining_s = booking.deadline - ANSWER_MARGIN_S - trio.current_time()
        message = messages.Forward(
            call_id=call_id,
            request_id=booking.request_id,
            ticket=ticket,
            workload=booking.workload,
            key=booking.key,
            deadline_ms=max(remaining_s, 0.001) * 1000,
            payload=booking.payload,
        )
        self._journal.record(
            'booking.forwarded', booking.request_id, to=parsed.instance
        )
        if self._send(parsed.instance, message):
            with trio.move_on_at(booking.deadline):
                await call.done.wait()
        self._forwarded_calls.pop(call_id, None)
        if call.answer is None:
            return BookingResult(
                ledgers.Outcome.UNKNOWN, ticket, message='no answer'
            )
        return _make_forwarded_result(call.answer, ticket)

    async def handle_forward(self, sender, message):
        """Run a booking that another instance forwards, and reply.

        :param sender: name of the instance.
        :param message: Forward message.
        """
        deadline = trio.current_time() + message.deadline_ms / 1000
        booking = Booking(
            request_id=message.request_id,
            workload=message.workload,
            key=message.key,
            payload=message.payload,
            deadline=deadline,
        )
        try:
            parsed = tickets.parse(message.ticket)
            if not self._ticket_issuer.is_own(parsed):
                raise errors.UnknownOutcomeError('issued by a former process')
            result = await self._book_own(booking, parsed, message.ticket)
            code = '' if result.outcome == 'ran' else str(result.outcome)
            reply = messages.Reply(
                message.call_id, code, result.message, result.body
            )
        except errors.SavorycrossError as exc:
            reply = messages.Reply(message.call_id, exc.code, exc.message, b'')
        self._send(sender, reply)

    def handle_reply(self, reply):
        """Pass a Reply to the forwarded booking that waits for it."""
        call = self._forwarded_calls.get(reply.call_id)
        if call is not None:
            call.answer = reply
            call.done.set()

    def handle_peer_lost(self, name):
        """End the wait for answers of a peer whose link is lost.

        :param name: name of the instance.
        """
        for part_id, (call, _, _) in list(self._part_calls.items()):
            if call.peer == name:
                call.done.set()
        for call in self._forwarded_calls.values():
            if call.peer == name:
                call.done.set()


def _make_forwarded_result(reply, ticket):
    """Return the BookingResult that a Reply describes.

    :raises TicketInvalidError: if the issuer says that the ticket is invalid.
    """
    if not reply.code:
        return BookingResult(ledgers.Outcome.RAN, ticket, reply.body)
    if reply.code == errors.TicketInvalidError.code:
        raise errors.TicketInvalidError(reply.message)
    outcome = ledgers.Outcome.UNKNOWN
    if reply.code == errors.BookingNotRunError.code:
        outcome = ledgers.Outcome.NOT_RUN
    return BookingResult(outcome, ticket, message=reply.message)


def hash_to_bucket(key, count):
    """Return a number from 0 to ``count`` - 1 that depends on the key only.

    >>> hash_to_bucket('rider-1', 10) == hash_to_bucket('rider-1', 10) < 10
    True
    """
    return xxhash.xxh3_64_intdigest(str(key)) % count


def encode_result(body):
    """Return a target's answer as raw JSON; null if it is not valid JSON."""
    try:
        decoding.decode(_result_decoder, body)
    except ValueError:
        return msgspec.Raw(b'null')
    return msgspec.Raw(body)
