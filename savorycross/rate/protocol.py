"""Messages between instances about the rates that targets state."""

import math
import typing

import msgspec

from savorycross.rate import statement
from savorycross.wire import versioned

# Version of the message format; messages of other versions are dropped.
FORMAT = 1
# A request asks for no more tokens than this.
MAX_TOKENS = 16
# Statements that are older count as this old.
MAX_AGE_S = 3600.0


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What a message says about one target.

    :param target: id of the target.
    :param rate_per_s: requests a second that the target takes, or None if it
        states no limit, as far as the sender knows.
    :param age_ms: milliseconds since ``Statement.sent_at``.
    :param tokens: number of tokens that are asked for or lent.
    """

    target: str
    rate_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: typing.Annotated[int, msgspec.Meta(ge=0)]
    tokens: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)] = 0

    def read_statement(self, now):
        """Return the Statement in the row.

        :param now: runtime clock time in seconds.
        """
        return statement.Statement(self.rate_per_s, now - self.age_ms / 1000)


class RateMessage(msgspec.Struct, frozen=True, array_like=True):
    """The content of one datagram.

    :param format: FORMAT.
    :param sender: name of the instance that sends it.
    :param is_request: whether it asks for tokens; it lends them otherwise.
    :param rows: Rows of the targets.
    """

    format: int
    sender: str
    is_request: bool
    rows: tuple[Row, ...]


_decoder = msgspec.msgpack.Decoder(RateMessage)


def make_row(target_id, stated, now, tokens=0):
    """Return the Row of a target.

    :param stated: Statement, from an answer of the target.
    :param now: runtime clock time in seconds.
    :param tokens: number of tokens that are asked for or lent.
    """
    age_s = min(max(now - stated.sent_at, 0.0), MAX_AGE_S)
    age_ms = math.ceil(age_s * 1000)
    return Row(target_id, stated.rate_per_s, age_ms, tokens)


def encode(message):
    """Return the bytes of a RateMessage."""
    return msgspec.msgpack.encode(message)


def decode(data):
    """Return the RateMessage that bytes encode.

    :raises ValueError: if the bytes encode none, or one of another format.
    """
    message = versioned.decode(_decoder, data, FORMAT)
    if any(row.rate_per_s == math.inf for row in message.rows):
        raise ValueError('rate_per_s is infinite')
    return message
