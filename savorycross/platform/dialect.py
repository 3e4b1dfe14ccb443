"""HTTP headers that the platform's callers and targets use."""

import dataclasses
import math

from savorycross import decoding
from savorycross.forward import call as calls
from savorycross.rate import statement
from savorycross.wire import messages

_ID = b'request-id'
_DEADLINE = b'deadline-ms'
_STAMP = b'server-stamp'
_NOT_RUN = b'not-run'
# Requests a second that a target takes from all instances together.
_RATE_LIMIT = b'server-limit'
# In all replies of a target that is about to end.
_LEAVING = b'server-leaving'
# Headers that are not forwarded, as each send sets its own.
_NOT_FORWARDED = messages.HOP_BY_HOP | {_DEADLINE, b'expect-instance'}
_KEY = b'api-key'
# With workspaces, targets trust the header that names one. Without them, both
# headers are the callers' own.
_NOT_FORWARDED_WITH_WORKSPACES = _NOT_FORWARDED | {_KEY, b'tenant'}

_CONTROLS = {**dict.fromkeys(range(32)), 127: None}


class PlatformDialect:
    """Reads and writes the platform's headers.

    Implements ``forward.call.Dialect``.
    """

    def read_call(self, request, has_workspaces=False):
        """Return the Call that a Request makes.

        :param has_workspaces: whether the configuration has workspaces, so
            that headers about them aren't forwarded.
        :returns: None if the request has no id or no host.
        """
        id_ = b''
        host = b''
        deadline = None
        forwarded = []
        not_forwarded = _NOT_FORWARDED
        if has_workspaces:
            not_forwarded = _NOT_FORWARDED_WITH_WORKSPACES
        for name, value in request.headers:
            lower = name.lower()
            if lower == _ID:
                id_ = value
            elif lower == b'host':
                host = value
            elif lower == _DEADLINE:
                deadline = value
            if lower not in not_forwarded:
                forwarded.append((name, value))
        if not id_ or not host:
            return None
        path = request.target.partition(b'?')[0]
        return calls.Call(
            id=id_,
            host=host.decode('latin-1').partition(':')[0].lower(),
            path=path.decode('latin-1'),
            method=request.method,
            target=request.target,
            headers=tuple(forwarded),
            body=request.body,
            caller_timeout_s=_read_deadline(deadline),
            received_at=request.received_at,
        )

    def read_key(self, request):
        """Return the key in a Request as bytes, or None.

        :returns: None too if there are several, as it is unclear whose
            request it is then.
        """
        keys = [v for name, v in request.headers if name.lower() == _KEY]
        return keys[0] or None if len(keys) == 1 else None

    def assign(self, call, workspace):
        """Return a Call with a workspace that targets are told."""
        # A line break in a name would begin a header of its own.
        name = workspace.name.translate(_CONTROLS).encode()
        return dataclasses.replace(
            call,
            headers=(*call.headers, (b'Tenant', name)),
            workspace=workspace,
        )

    def encode_send(self, call, remaining_s, target_id):
        """Return the bytes of the request to a target.

        :param remaining_s: seconds until the call's deadline.
        :param target_id: id of the target that must answer.
        """
        headers = (
            (b'Deadline-Ms', b'%d' % max(1, int(remaining_s * 1000))),
            (b'Expect-Instance', target_id.encode()),
        )
        return messages.encode_request(
            call.method, call.target, call.headers + headers, call.body
        )

    def matches(self, call, reply):
        """Return whether a reply has the id of a call."""
        return reply.header(_ID) == call.id

    def classify(self, reply):
        """Return the Verdict on the request that a reply implies."""
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
        """Return the target's signature from a reply, or None."""
        return reply.header(_STAMP)

    def read_rate_limit(self, reply):
        """Return the requests a second that a target takes, or None."""
        return statement.parse_rate(reply.header(_RATE_LIMIT))

    def read_pause_s(self, reply):
        """Return the seconds for which a target wants nothing, or 0."""
        if reply.status != 503:
            return 0.0
        return _read_seconds(reply.header(b'retry-after'))

    def is_leaving(self, reply):
        """Return whether a target says that it is about to end."""
        return reply.header(_LEAVING) == b'1'

    def make_part(self, stamp, body):
        """Return a successful Reply with a target's signature and body."""
        return messages.Reply(200, ((b'Server-Stamp', stamp),), body)

    def make_merged(self, stamps, missed, body):
        """Return the Reply to the caller that merges several parts.

        :param stamps: signatures of the targets that answered.
        :param missed: number of missing parts.
        :param body: merged records.
        """
        headers = (
            (b'Parts', b', '.join(stamps)),
            (b'Missing-Parts', b'%d' % missed),
        )
        return messages.Reply(200, headers, body)

    def make_refusal(self, status, retry_after_s=None):
        """Return a Reply of the instance itself, such as a refusal.

        :param retry_after_s: seconds until a retry makes sense, or None.
        """
        headers = ()
        if retry_after_s is not None:
            headers = ((b'Retry-After', b'%.3f' % retry_after_s),)
        return messages.Reply(status, headers)


def _read_seconds(value):
    """Return the seconds that a header states, or 0 if it states none."""
    try:
        seconds = float(value or b'0')
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0


def _read_deadline(value):
    """Return the seconds in a header of milliseconds, or None."""
    deadline_ms = decoding.decode_digits(value)
    return None if deadline_ms is None else deadline_ms / 1000
