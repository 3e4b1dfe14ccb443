"""A caller's request as it is forwarded, and how replies are read."""

import dataclasses
import enum
import typing

from savorycross.workspace import workspace as workspaces


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    :param id: identity of this try, chosen by the caller.
    :param host: host name in lower case, without a port.
    :param path: path without the query.
    :param target: path and query: the request target of HTTP.
    :param headers: headers that are forwarded unchanged.
    :param caller_timeout_s: seconds that the caller waits, or None if it
        does not say.
    :param received_at: runtime clock time in seconds.
    :param workspace: Workspace of the caller, or None if it has none.
    """

    id: bytes
    host: str
    path: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    caller_timeout_s: float | None
    received_at: float
    workspace: workspaces.Workspace | None = None

    def urgency(self, route):
        """Return the priorities of the workspace and of a Route.

        Calls are ordered by them. A call without a workspace counts as if
        its workspace had the most urgent priority, which is the default.
        """
        if self.workspace is None:
            return (0, route.priority)
        return (self.workspace.priority, route.priority)

    @property
    def label(self):
        """Identity of the call as text, for logs."""
        return self.id.decode('latin-1')

    def drop_body(self):
        """Free the body, as the call has ended.

        Timers and late replies refer to the call for seconds more.
        """
        object.__setattr__(self, 'body', b'')


class Verdict(enum.Enum):
    """What a target's reply says about the request.

    OK means an answer, FAILED that the target reports a failure, NOT_RUN
    that it refused to run the request, MISDIRECTED that another target
    answers at the address, and INVALID that the reply breaks the protocol.
    """

    OK = 'ok'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    INVALID = 'invalid'


class Dialect(typing.Protocol):
    """The HTTP headers that callers and targets use."""

    def read_call(self, request, has_workspaces=False) -> Call | None:
        """Return the Call in a Request, or None if it has no identity.

        :param has_workspaces: whether the configuration has workspaces. Then
            neither the key nor a caller's own claim of a workspace is
            forwarded.
        """

    def read_key(self, request) -> bytes | None:
        """Return the key in a Request, or None."""

    def assign(self, call, workspace) -> Call:
        """Return a Call with a workspace, whose name targets get."""

    def encode_send(self, call, remaining_s, target_id) -> bytes:
        """Return the request to a target as bytes.

        :param call: Call.
        :param remaining_s: seconds that are left for the answer.
        :param target_id: id of the target that is to answer.
        """

    def matches(self, call, reply) -> bool:
        """Return whether a reply has the identity of a call."""

    def classify(self, reply) -> Verdict:
        """Return what a reply says about the request."""

    def stamp(self, reply) -> bytes:
        """Return the stamp in a reply, by which the target signs it."""

    def read_rate_limit(self, reply) -> float | None:
        """Return the rate that a target states in a reply, or None.

        :returns: requests a second that it takes from all instances.
        """

    def read_pause_s(self, reply) -> float:
        """Return the seconds for which a target wants nothing, or 0.

        This concerns the instance that got the reply only.
        """

    def is_leaving(self, reply) -> bool:
        """Return whether a target says that it gets no new requests."""

    def make_part(self, stamp, body):
        """Return a successful Reply with the stamp of a target and a body."""

    def make_merged(self, stamps, missed, body):
        """Return the Reply to a call that several targets answered.

        :param stamps: stamps of the merged replies.
        :param missed: number of services without an answer.
        :param body: merged body.
        """

    def make_refusal(self, status, retry_after_s=None):
        """Return a Reply that this instance makes instead of a target.

        :param status: HTTP status.
        :param retry_after_s: seconds until the caller may retry, or None.
        """
