"""A caller's request as it is sent on, and how replies are read."""

import dataclasses
import enum
import typing

# When a caller whose request did not run is to come back.
RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    :param id: identity of this try, chosen by the caller.
    :param target: path and query.
    :param headers: headers that are sent on unchanged.
    :param caller_timeout_s: seconds that the caller waits, or None.
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

    @property
    def label(self):
        """The identity as text, for logs."""
        return self.id.decode('latin-1')


class Verdict(enum.Enum):
    """What a target's reply says of the request."""

    OK = 'ok'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    INVALID = 'invalid'


class Dialect(typing.Protocol):
    """The headers that callers and targets use."""

    def read_call(self, request) -> Call | None:
        """Return the Call in a Request, or None if it has no identity."""

    def encode_send(self, call, remaining_s, target_id) -> bytes:
        """Return the request to a target as bytes."""

    def matches(self, call, reply) -> bool:
        """Tell whether a reply answers a call."""

    def classify(self, reply) -> Verdict:
        """Return what a reply says of the request."""

    def stamp(self, reply) -> bytes:
        """Return the target's signature in a reply."""

    def make_part(self, stamp, body):
        """Return the Reply that a signature and a body stand for."""

    def make_merged(self, stamps, missed, body):
        """Return the Reply that merges several targets' replies."""

    def make_refusal(self, status, retry_after_s=None):
        """Return a Reply of this system's own."""
