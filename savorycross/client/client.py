"""Client library of callers, for queries and bookings by any instance."""

import dataclasses
import random

import httpcore
import msgspec
import trio

from savorycross.entry import entries
from savorycross.entry import request
from savorycross import errors

DEFAULT_DEADLINE_S = 5.0
RETRY_PAUSE_S = 0.05
ENTRIES_TIMEOUT_S = 1.0
REPLY_GRACE_S = 0.25
ATTEMPT_TIME_RATIO = 0.6
MIN_ATTEMPT_S = 0.1
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_ERROR_CLASSES = {
    c.code: c
    for c in vars(errors).values()
    if isinstance(c, type) and issubclass(c, errors.SavorycrossError)
}


class _TicketBody(msgspec.Struct):
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The HTTP response of an instance.

    :param status: HTTP status code.
    """

    status: int
    body: bytes


class Client:
    """A client that sends requests to instances and retries them.

    It is an async context manager. It caches the list of entries, the
    instances that callers may use, for as long as the list allows.

    :param addresses: addresses, such as ``127.0.0.1:7001``, of instances
        from which the first list of entries is requested.
    :param caller: identity of the caller, by which instances share capacity
        fairly; empty for none.
    :param seed: seed of the random choice among entries, or None.
    """

    def __init__(self, addresses, caller='', seed=None):
        self._seed_addresses = list(addresses)
        self._caller = caller
        self._random = random.Random(seed)
        self._entries = ()
        self._entries_expire_at = float('-inf')
        self._avoid_until = {}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=100, max_keepalive_connections=50
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self._pool.aclose()

    async def entries(self):
        """Return the Entries; request them if the cached ones have expired.

        :raises NoInstanceError: if no instance returns any entry.
        """
        if trio.current_time() < self._entries_expire_at:
            return self._entries
        cached_addresses = [
            e.address for e in getattr(self._entries, 'entries', ())
        ]
        for address in dict.fromkeys(
            [*cached_addresses, *self._seed_addresses]
        ):
            try:
                with trio.fail_after(ENTRIES_TIMEOUT_S):
                    reply = await self._send_request(
                        address, 'GET', '/v1/entries'
                    )
                received = msgspec.json.decode(
                    reply.body, type=entries.Entries
                )
            except (*_CONNECTION_ERRORS, trio.TooSlowError, ValueError):
                continue
            if reply.status == 200 and received.entries:
                self._entries = received
                self._entries_expire_at = trio.current_time() + received.keep_s
                return received
        raise errors.NoInstanceError(
            f'none of {", ".join(self._seed_addresses)} returned '
            'an instance to use'
        )

    async def query(
        self, workload, payload=None, deadline_s=DEFAULT_DEADLINE_S, **options
    ):
        """Run a query and return its QueryAnswer.

        A query that fails is retried at another instance until the deadline.

        :param workload: name of a workload of kind query.
        :param payload: any JSON value.
        :param deadline_s: seconds until the deadline.
        :param options: ``min_coverage`` or ``limit``, as in the body of a
            request.
        :raises SavorycrossError: the error with which the instance refused
            the query, or NoInstanceError if none answered in time.
        """
        deadline = trio.current_time() + deadline_s
        body = {'workload': workload, 'payload': payload, **options}
        reply = await self._request_with_retries('/v1/query', body, deadline)
        return msgspec.json.decode(reply.body, type=request.QueryAnswer)

    async def book(
        self,
        workload,
        payload=None,
        deadline_s=DEFAULT_DEADLINE_S,
        key='',
        ticket='',
    ):
        """Run a booking and return its BookingAnswer.

        All attempts carry the same ticket or key, so that the booking runs at
        most once however often it is sent.

        :param workload: name of a workload of kind booking.
        :param payload: any JSON value.
        :param deadline_s: seconds until the deadline.
        :param key: idempotency key that the caller has chosen; without a
            ticket, the platform's store binds it to one.
        :param ticket: ticket of an earlier attempt, or empty to have one
            issued if there is no key either.
        :raises UnknownOutcomeError: if the booking may or may not have run;
            a call with the exception's ``ticket``, or with the same key, asks
            for its outcome.
        :raises BookingNotRunError: if the booking has not run.
        :raises SavorycrossError: if an instance refused the booking, or none
            could be reached.
        """
        deadline = trio.current_time() + deadline_s
        if not ticket and not key:
            ticket = await self.issue_ticket(deadline_s)
        body = {
            'workload': workload,
            'payload': payload,
            'ticket': ticket,
            'key': key,
        }
        try:
            reply = await self._request_with_retries(
                '/v1/bookings', body, deadline, unknown_if_sent=True
            )
        except errors.SavorycrossError as exc:
            exc.ticket = ticket
            raise
        return msgspec.json.decode(reply.body, type=request.BookingAnswer)

    async def issue_ticket(self, deadline_s=DEFAULT_DEADLINE_S):
        """Return a new ticket, as text, for one booking.

        :param deadline_s: seconds until the deadline.
        """
        deadline = trio.current_time() + deadline_s
        reply = await self._request_with_retries('/v1/tickets', None, deadline)
        return msgspec.json.decode(reply.body, type=_TicketBody).ticket

    async def _request_with_retries(
        self, path, body, deadline, unknown_if_sent=False
    ):
        """Send a request to one instance after another until one accepts it.

        :param path: path of the resource.
        :param body: dict that is sent as JSON with the remaining time, or
            None for no body.
        :param deadline: time of the trio clock in seconds.
        :param unknown_if_sent: whether the outcome is unknown if any try was
            sent and not answered; what others say of theirs does not settle
            it.
        :returns: Reply with status 200.
        :raises SavorycrossError: the last failure, once the deadline has
            passed or no other instance would accept the request.
        """
        failure = errors.NoInstanceError('the deadline has passed')
        sent = False
        while trio.current_time() < deadline:
            address = await self._choose_address(deadline)
            attempt_deadline = deadline
            if not unknown_if_sent:
                attempt_deadline = self._make_attempt_deadline(deadline)
            try:
                reply = await self._post(address, path, body, attempt_deadline)
            except httpcore.ConnectError:
                self._avoid_temporarily(address)
                continue
            except (*_CONNECTION_ERRORS, trio.TooSlowError):
                self._avoid_temporarily(address)
                sent = True
                continue
            if reply.status == 200:
                return reply
            failure = _to_error(reply)
            if not _is_retryable(failure):
                break
            self._avoid_temporarily(address)
            await trio.sleep(RETRY_PAUSE_S)
        if sent and unknown_if_sent:
            raise errors.UnknownOutcomeError(
                'no answer to a booking that was sent'
            )
        raise failure

    def _make_attempt_deadline(self, deadline):
        """Return the deadline of one attempt, on the trio clock in seconds.

        It leaves time for another instance, as this one may be unresponsive.
        """
        now = trio.current_time()
        return max(
            now + (deadline - now) * ATTEMPT_TIME_RATIO, now + MIN_ATTEMPT_S
        )

    async def _post(self, address, path, body, deadline):
        remaining = deadline - trio.current_time()
        content = b''
        if body is not None:
            timed_body = {**body, 'deadline_ms': max(1, int(remaining * 1000))}
            content = msgspec.json.encode(timed_body)
        with trio.fail_after(remaining + REPLY_GRACE_S):
            return await self._send_request(address, 'POST', path, content)

    async def _choose_address(self, deadline):
        """Return the address of an instance, chosen at random by weight."""
        entry_list = None
        with trio.move_on_at(deadline):
            entry_list = await self.entries()
        if entry_list is None:
            raise errors.NoInstanceError('no instance answers in time')
        now = trio.current_time()
        usable = [
            e
            for e in entry_list.entries
            if self._avoid_until.get(e.address, float('-inf')) <= now
        ]
        usable = usable or list(entry_list.entries)
        weights = [max(e.weight, 0.01) for e in usable]
        return self._random.choices(usable, weights)[0].address

    def _avoid_temporarily(self, address):
        self._avoid_until[address] = trio.current_time() + ENTRIES_TIMEOUT_S
        if self._entries and len(self._avoid_until) >= len(
            self._entries.entries
        ):
            self._entries_expire_at = float('-inf')

    async def _send_request(self, address, method, path, content=b''):
        headers = [('Host', address), ('Content-Type', 'application/json')]
        if self._caller:
            headers.append(('X-Caller', self._caller))
        reply = await self._pool.request(
            method, f'http://{address}{path}', headers=headers, content=content
        )
        return Reply(reply.status, reply.content)


def _to_error(reply):
    """Return the SavorycrossError that the body of a reply describes."""
    try:
        body = msgspec.json.decode(reply.body, type=request.ErrorBody)
    except ValueError:
        return errors.NoInstanceError(f'status {reply.status}')
    error = _ERROR_CLASSES.get(body.code, errors.SavorycrossError)(
        body.message, body.details
    )
    error.coverage = body.coverage
    return error


def _is_retryable(failure):
    """Return whether another instance may accept the request."""
    return isinstance(failure, (errors.NotReadyError, errors.NoInstanceError))
