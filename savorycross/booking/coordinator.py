"""The bookings that this instance takes, runs and forwards."""

import dataclasses
import itertools

import msgspec
import trio
import xxhash

from savorycross.booking import ledger as ledgers
from savorycross.booking import ticket as tickets
from savorycross import errors
from savorycross.peer import messages

ANSWER_MARGIN_S = 0.01
OWNER_MARGIN_S = 0.04
MAX_OWNERS_TRIED = 3


@dataclasses.dataclass(frozen=True)
class Booking:
    """A booking of a caller.

    :param deadline: runtime clock, seconds.
    """

    request_id: str
    workload: str
    key: str
    payload: bytes
    deadline: float


@dataclasses.dataclass(frozen=True)
class Result:
    """What became of a booking.

    :param body: the target's answer, if it ran.
    """

    outcome: ledgers.Outcome
    ticket: str
    body: bytes = b''
    message: str = ''


@dataclasses.dataclass(slots=True)
class _Call:
    """A message to a peer whose answer is awaited."""

    peer: str
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    answer: object = None


class BookingDesk:
    """Runs bookings at most once.

    Only the process that issued a ticket sends its booking to an owner,
    once at a time; other instances forward to it.

    :param own: this instance's Member.
    :param secret: bytes for the TicketMint.
    :param claims: IdempotencyKeys.
    :param router: says where bookings go; see BookingRouter.
    :param send: callable of a name and a message; False if not sent.
    :param part_ids: iterator of part ids, unique on this instance.
    :param journal: Journal.
    :param wall: callable that returns seconds since the epoch.
    :param nursery: runs bookings on, also when their callers have gone.
    """

    def __init__(
        self,
        own,
        secret,
        claims,
        router,
        send,
        part_ids,
        journal,
        wall,
        nursery,
    ):
        self.ledger = ledgers.Ledger()
        self._own = own
        self._mint = tickets.TicketMint(own.name, own.incarnation, secret)
        self._claims = claims
        self._router = router
        self._send = send
        self._part_ids = part_ids
        self._call_ids = itertools.count(1)
        self._journal = journal
        self._wall = wall
        self._nursery = nursery
        self._parts = {}
        self._forwards = {}
        self._changed = {}
        self.running = 0
        self._issues = True

    def issue(self):
        """Return a new ticket.

        :raises OverloadedError: if no more bookings can be remembered.
        :raises NotReadyError: shortly before the instance ends.
        """
        if not self._issues:
            raise errors.NotReadyError('stopping: no more tickets')
        if not self.ledger.has_room(trio.current_time()):
            raise errors.OverloadedError('too many bookings are remembered')
        return self._mint.issue(int(self._wall() * 1000))

    def stop_issuing(self):
        """Issue no more tickets, for this process will end."""
        self._issues = False

    async def book(self, booking, ticket):
        """Return the Result of a booking.

        :param ticket: ticket, or an empty text to claim the booking's key.
        :raises TicketInvalidError: if no instance can have issued it.
        """
        self.running += 1
        try:
            if not ticket:
                ticket = await self._claim(booking)
            found = tickets.parse(ticket)
            if self._mint.is_own(found):
                return await self._book_own(booking, found, ticket)
            return await self._forward(booking, found, ticket)
        finally:
            self.running -= 1

    async def _claim(self, booking):
        with trio.move_on_at(booking.deadline - ANSWER_MARGIN_S):
            fresh = self.issue()
            return await self._claims.claim(
                booking.workload, booking.key, fresh
            )
        raise errors.BookingNotRunError('the store did not answer in time')

    async def _book_own(self, booking, found, ticket):
        if not self._mint.check(found, ticket):
            raise errors.TicketInvalidError('this ticket was never issued')
        now = trio.current_time()
        issued = now - (self._wall() - found.issued_ms / 1000)
        verdict = self.ledger.begin(found.number, issued, now)
        self._journal.record(
            'booking.arrived', booking.request_id, step=verdict.step
        )
        if verdict.step is ledgers.Step.ANSWER:
            return Result(verdict.outcome, ticket, verdict.body)
        if verdict.step is ledgers.Step.RUN:
            self._nursery.start_soon(self._run, booking, found.number)
        await self._wait(booking, found.number)
        return self._result(found.number, ticket)

    def _result(self, number, ticket):
        verdict = self.ledger.look_up(number)
        outcome = verdict.outcome
        if outcome is ledgers.Outcome.RUNNING:
            outcome = ledgers.Outcome.UNKNOWN
        return Result(outcome, ticket, verdict.body)

    async def _wait(self, booking, number):
        """Wait until the run of the booking has ended."""
        event = self._changed.setdefault(number, trio.Event())
        with trio.move_on_at(booking.deadline - ANSWER_MARGIN_S):
            await event.wait()

    async def _run(self, booking, number):
        """Send the booking to owners until one may have run it."""
        owners = self._router.route(booking.workload, booking.key or number)
        for owner, part in owners[:MAX_OWNERS_TRIED]:
            remaining = booking.deadline - OWNER_MARGIN_S - trio.current_time()
            if remaining <= 0:
                break
            if await self._run_at(owner, part, booking, number, remaining):
                return
        self._finish(booking, number, ledgers.Outcome.NOT_RUN)

    async def _run_at(self, owner, part, booking, number, remaining):
        """Return False if this owner surely has not run the booking."""
        part_id = next(self._part_ids)
        call = _Call(owner)
        self._parts[part_id] = (call, booking, number)
        message = messages.Part(
            part_id=part_id,
            request_id=booking.request_id,
            replica_sets=(part.replica_set,),
            shards=(part.shard,),
            version=0,
            epoch=0,
            priority=part.priority,
            deadline_ms=remaining * 1000,
            flush_ms=0.0,
            payload=booking.payload,
            repeatable=False,
        )
        self._journal.record(
            'booking.sent', booking.request_id, owner=owner, part=part_id
        )
        if not self._send(owner, message):
            del self._parts[part_id]
            return False
        with trio.move_on_at(booking.deadline):
            await call.done.wait()
        if call.answer is None:
            call.done.set()
            self._finish(booking, number, ledgers.Outcome.UNKNOWN)
            return True
        return call.answer.ran != 0

    def part_answered(self, answer):
        """Take an owner's answer; return False if it is for no booking.

        An answer that comes after the deadline still settles the outcome.
        """
        found = self._parts.pop(answer.part_id, None)
        if found is None:
            return False
        call, booking, number = found
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
        self.ledger.finish(number, outcome, body)
        self._journal.record(
            'booking.ended', booking.request_id, outcome=outcome
        )
        event = self._changed.pop(number, None)
        if event is not None:
            event.set()

    async def _forward(self, booking, found, ticket):
        """Ask the process that issued a ticket."""
        if not self._router.is_running(found.instance, found.incarnation):
            return Result(
                ledgers.Outcome.UNKNOWN,
                ticket,
                message=f'instance {found.instance} has ended',
            )
        call_id = next(self._call_ids)
        call = _Call(found.instance)
        self._forwards[call_id] = call
        remaining = booking.deadline - ANSWER_MARGIN_S - trio.current_time()
        message = messages.Forward(
            call_id=call_id,
            request_id=booking.request_id,
            ticket=ticket,
            workload=booking.workload,
            key=booking.key,
            deadline_ms=max(remaining, 0.001) * 1000,
            payload=booking.payload,
        )
        self._journal.record(
            'booking.forwarded', booking.request_id, to=found.instance
        )
        if self._send(found.instance, message):
            with trio.move_on_at(booking.deadline):
                await call.done.wait()
        self._forwards.pop(call_id, None)
        if call.answer is None:
            return Result(ledgers.Outcome.UNKNOWN, ticket, message='no answer')
        return _from_reply(call.answer, ticket)

    async def serve_forward(self, sender, message):
        """Run a booking that another instance forwards, and reply."""
        deadline = trio.current_time() + message.deadline_ms / 1000
        booking = Booking(
            request_id=message.request_id,
            workload=message.workload,
            key=message.key,
            payload=message.payload,
            deadline=deadline,
        )
        try:
            found = tickets.parse(message.ticket)
            if not self._mint.is_own(found):
                raise errors.UnknownOutcomeError('issued by a former process')
            result = await self._book_own(booking, found, message.ticket)
            code = '' if result.outcome == 'ran' else str(result.outcome)
            reply = messages.Reply(
                message.call_id, code, result.message, result.body
            )
        except errors.SavorycrossError as exc:
            reply = messages.Reply(message.call_id, exc.code, exc.message, b'')
        self._send(sender, reply)

    def replied(self, reply):
        """Take the reply to a forwarded booking."""
        call = self._forwards.get(reply.call_id)
        if call is not None:
            call.answer = reply
            call.done.set()

    def peer_lost(self, name):
        """A link to a peer has ended: what it was sent has no answer."""
        for part_id, (call, _, _) in list(self._parts.items()):
            if call.peer == name:
                call.done.set()
        for call in self._forwards.values():
            if call.peer == name:
                call.done.set()


def _from_reply(reply, ticket):
    if not reply.code:
        return Result(ledgers.Outcome.RAN, ticket, reply.body)
    if reply.code == errors.TicketInvalidError.code:
        raise errors.TicketInvalidError(reply.message)
    outcome = ledgers.Outcome.UNKNOWN
    if reply.code == errors.BookingNotRunError.code:
        outcome = ledgers.Outcome.NOT_RUN
    return Result(outcome, ticket, message=reply.message)


def spread(key, count):
    """Return a number below ``count`` that depends on a key alone.

    >>> spread('rider-1', 10) == spread('rider-1', 10) < 10
    True
    """
    return xxhash.xxh3_64_intdigest(str(key)) % count


def encode_result(body):
    """Return a target's answer as JSON, null if it is none."""
    try:
        msgspec.json.decode(body)
    except ValueError:
        return msgspec.Raw(b'null')
    return msgspec.Raw(body)
