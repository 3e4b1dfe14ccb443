"""The HTTP interface for callers and operators, as an ASGI application."""

import urllib.parse

import msgspec
import trio

from savorycross.booking import coordinator as booking_coordinator
from savorycross.booking import ledger
from savorycross.catalogue import workload as workloads
from savorycross.entry import query_coordinator
from savorycross.entry import request
from savorycross.entry import status
from savorycross import errors

JSON = b'application/json'
TEXT = b'text/plain; charset=utf-8'
MAX_EVENTS = 50_000
MAX_CATALOGUE_BYTES = 16 * 1024 * 1024


class App:
    """ASGI application that answers HTTP requests for one instance.

    :param instance: Instance.
    """

    def __init__(self, instance):
        self._instance = instance
        prefix = f'{instance.own.name}-{instance.own.incarnation:x}'
        self._request_ids = query_coordinator.make_request_ids(prefix)
        self.in_progress = 0
        self._routes = {
            ('POST', '/v1/query'): self._query,
            ('POST', '/v1/tickets'): self._issue_ticket,
            ('POST', '/v1/bookings'): self._book,
            ('POST', '/v1/catalogue'): self._announce_catalogue,
            ('GET', '/v1/entries'): self._entries,
            ('GET', '/v1/status'): self._status,
            ('GET', '/v1/events'): self._events,
            ('GET', '/metrics'): self._metrics,
            ('GET', '/healthz'): self._healthz,
            ('GET', '/readyz'): self._readyz,
        }

    async def __call__(self, scope, receive, send):
        """Serve one ASGI scope; only lifespan and HTTP are supported."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        self.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def _serve(self, scope, receive, send):
        """Answer one HTTP request; errors become error responses."""
        request_id = next(self._request_ids)
        try:
            handler = self._find_handler(scope)
            body = await _read_body(receive, _max_body_bytes(scope['path']))
            code, headers, content = await handler(scope, body, request_id)
        except errors.SavorycrossError as exc:
            code, headers, content = self._make_error_response(exc, request_id)
        if self._instance.leaving:
            headers = [*headers, (b'connection', b'close')]
        await _respond(send, code, headers, content)

    def _find_handler(self, scope):
        handler = self._routes.get((scope['method'], scope['path']))
        if handler is None:
            raise errors.NotFoundError(
                f'no resource for {scope["method"]} {scope["path"]}'
            )
        return handler

    def _make_error_response(self, exc, request_id):
        """Return the status code, headers and body for an error."""
        self._instance.metrics.count('refusals', code=exc.code)
        body = request.ErrorBody(
            code=exc.code,
            message=exc.message,
            outcome=exc.outcome,
            request_id=request_id,
            details=exc.details,
            coverage=getattr(exc, 'coverage', None),
        )
        return exc.http_status, _json_headers(), msgspec.json.encode(body)

    async def _query(self, scope, body, request_id):
        self._check_configured()
        query_request = request.decode_query(body)
        answer = await self._instance.queries.query(
            request_id, query_request, _caller_identity(scope)
        )
        coverage = answer.coverage
        headers = [
            *_json_headers(),
            (b'x-coverage', b'%d/%d' % (coverage.answered, coverage.asked)),
            (
                b'x-snapshot',
                f'{answer.snapshot.index}@{answer.snapshot.version}'
                f'.{answer.snapshot.epoch}'.encode(),
            ),
        ]
        return 200, headers, msgspec.json.encode(answer)

    async def _issue_ticket(self, scope, body, request_id):
        self._check_configured()
        ticket = self._instance.bookings.issue()
        content = msgspec.json.encode(
            {'ticket': ticket, 'valid_s': ledger.TICKET_VALID_S}
        )
        return 200, _json_headers(), content

    async def _book(self, scope, body, request_id):
        self._check_configured()
        booking_request = request.decode_booking(body)
        workload = request.find_workload(
            self._instance.catalogue,
            booking_request.workload,
            workloads.Kind.BOOKING,
        )
        timeout_s = (
            booking_request.deadline_ms or workload.deadline_ms
        ) / 1000
        booking = booking_coordinator.Booking(
            request_id=request_id,
            workload=workload.name,
            key=booking_request.key,
            payload=bytes(booking_request.payload),
            deadline=trio.current_time() + timeout_s,
        )
        result = await self._instance.bookings.book(
            booking, booking_request.ticket
        )
        if result.outcome is ledger.Outcome.NOT_RUN:
            raise errors.BookingNotRunError(result.message or 'not run')
        if result.outcome is not ledger.Outcome.RAN:
            raise errors.UnknownOutcomeError(
                result.message or 'the booking may have run'
            )
        answer = request.BookingAnswer(
            request_id=request_id,
            ticket=result.ticket,
            status='ran',
            result=booking_coordinator.encode_result(result.body),
        )
        return 200, _json_headers(), msgspec.json.encode(answer)

    async def _announce_catalogue(self, scope, body, request_id):
        try:
            self._instance.adopt_announced_catalogue(body)
        except ValueError as exc:
            raise errors.BadRequestError(f'invalid catalogue: {exc}') from exc
        version = self._instance.catalogue.version
        content = msgspec.json.encode({'version': version})
        return 200, _json_headers(), content

    async def _entries(self, scope, body, request_id):
        entries = self._instance.list_entries()
        return 200, _json_headers(), msgspec.json.encode(entries)

    async def _status(self, scope, body, request_id):
        instance_status = status.make_status(self._instance)
        return 200, _json_headers(), msgspec.json.encode(instance_status)

    async def _events(self, scope, body, request_id):
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        subject = query.get('subject', [None])[0]
        since = query.get('since', ['0'])[0]
        if not since.isdigit():
            raise errors.BadRequestError(f'since {since!r} is not a number')
        events = self._instance.journal.select(subject, int(since))
        content = msgspec.json.encode(events[-MAX_EVENTS:])
        return 200, _json_headers(), content

    async def _metrics(self, scope, body, request_id):
        self._instance.update_gauges()
        content = self._instance.metrics.render().encode()
        return 200, [(b'content-type', TEXT)], content

    async def _healthz(self, scope, body, request_id):
        return 200, [(b'content-type', TEXT)], b'ok\n'

    async def _readyz(self, scope, body, request_id):
        reason = self._instance.not_ready_reason()
        if reason is not None:
            raise errors.NotReadyError(reason)
        return 200, [(b'content-type', TEXT)], b'ready\n'

    def _check_configured(self):
        """Refuse requests until the instance has a configuration.

        :raises NotReadyError: if it has none.
        """
        if not self._instance.catalogue.version:
            raise errors.NotReadyError('no configuration yet')


def _json_headers():
    return [(b'content-type', JSON)]


def _caller_identity(scope):
    """Return the identity of a caller, for fair sharing.

    It is the ``x-caller`` header, or else the caller's IP address.
    """
    for name, value in scope['headers']:
        if name == b'x-caller':
            return value.decode('latin-1')[:100]
    client = scope.get('client')
    return client[0] if client else 'unknown'


async def _serve_lifespan(receive, send):
    """Acknowledge startup and shutdown of the server; neither needs work."""
    for step in ('startup', 'shutdown'):
        await receive()
        await send({'type': f'lifespan.{step}.complete'})


def _max_body_bytes(path):
    """Return the largest allowed body size of a request, in bytes."""
    if path == '/v1/catalogue':
        return MAX_CATALOGUE_BYTES
    return request.MAX_BODY_BYTES


async def _read_body(receive, limit):
    """Return the body of a request.

    :param limit: largest allowed size in bytes.
    :raises BodyTooLargeError: if the body is larger.
    :raises BadRequestError: if the caller disconnects.
    """
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise errors.BadRequestError('the caller disconnected')
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > limit:
            raise errors.BodyTooLargeError(f'body longer than {limit} bytes')
        chunks.append(chunk)
        if not message.get('more_body'):
            return b''.join(chunks)


async def _respond(send, code, headers, content):
    length = (b'content-length', b'%d' % len(content))
    await send(
        {
            'type': 'http.response.start',
            'status': code,
            'headers': [*headers, length],
        }
    )
    await send({'type': 'http.response.body', 'body': content})
