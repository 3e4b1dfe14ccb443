"""Headers that the platform's clients and backends use."""

from savorycross.forward import call as calls
from savorycross.wire import messages

_ID = b'request-id'
_DEADLINE = b'deadline-ms'
_STAMP = b'server-stamp'
_NOT_RUN = b'not-run'
# Headers that are set anew for each send.
_OWN = messages.HOP_BY_HOP | {_DEADLINE, b'expect-instance'}


class PlatformDialect:
    """A ``forward.call.Dialect``."""

    def read_call(self, request):
        """Return the Call in a Request, or None if it has no identity."""
        id_ = b''
        host = b''
        allowed = None
        kept = []
        for name, value in request.headers:
            lower = name.lower()
            if lower == _ID:
                id_ = value
            elif lower == b'host':
                host = value
            elif lower == _DEADLINE:
                allowed = value
            if lower not in _OWN:
                kept.append((name, value))
        if not id_ or not host:
            return None
        path = request.target.partition(b'?')[0]
        return calls.Call(
            id=id_,
            host=host.decode('latin-1').partition(':')[0].lower(),
            path=path.decode('latin-1'),
            method=request.method,
            target=request.target,
            headers=tuple(kept),
            body=request.body,
            caller_timeout_s=_read_deadline(allowed),
            received_at=request.received_at,
        )

    def encode_send(self, call, remaining_s, target_id):
        """Return the request to a target as bytes."""
        own = (
            (b'Deadline-Ms', b'%d' % max(1, int(remaining_s * 1000))),
            (b'Expect-Instance', target_id.encode()),
        )
        return messages.encode_request(
            call.method, call.target, call.headers + own, call.body
        )

    def matches(self, call, reply):
        """Tell whether a reply answers a call."""
        return reply.header(_ID) == call.id

    def classify(self, reply):
        """Return what a reply says of the request."""
        if reply.header(_NOT_RUN) is not None:
            if reply.status == 421:
                return calls.Verdict.MISDIRECTED
            return calls.Verdict.NOT_RUN
        if reply.status == 421:
            return calls.Verdict.MISDIRECTED
        if not reply.header(_STAMP):
            return calls.Verdict.INVALID
        if reply.header(b'content-encoding') is not None:
            return calls.Verdict.INVALID
        if 200 <= reply.status < 300:
            return calls.Verdict.OK
        return calls.Verdict.FAILED

    def stamp(self, reply):
        """Return the target's signature in a reply."""
        return reply.header(_STAMP)

    def make_part(self, stamp, body):
        """Return the Reply that a signature and a body stand for."""
        return messages.Reply(200, ((b'Server-Stamp', stamp),), body)

    def make_merged(self, stamps, missed, body):
        """Return the Reply that merges several targets' replies."""
        headers = (
            (b'Parts', b', '.join(stamps)),
            (b'Missing-Parts', b'%d' % missed),
        )
        return messages.Reply(200, headers, body)

    def make_refusal(self, status, retry_after_s=None):
        """Return a Reply of this system's own."""
        headers = ()
        if retry_after_s is not None:
            headers = ((b'Retry-After', b'%.3f' % retry_after_s),)
        return messages.Reply(status, headers)


def _read_deadline(value):
    if value is None or not value.isdigit():
        return None
    return int(value) / 1000
