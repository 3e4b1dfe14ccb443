"""Messages between instances about the tokens of workspaces."""

import typing

import msgspec

from savorycross.rate import protocol as rate_protocol
from savorycross.wire import versioned

# Version of the message format; it differs from those of ``rate.protocol``,
# whose messages use the same socket.
FORMAT = 101
# A request asks for no more tokens than this.
MAX_TOKENS = rate_protocol.MAX_TOKENS


class QuotaMessage(msgspec.Struct, frozen=True, array_like=True):
    """The content of one datagram, about one workspace.

    :param format: FORMAT.
    :param sender: name of the instance that sends it.
    :param is_request: whether it asks for tokens; it lends them otherwise.
    :param workspace: name of the workspace.
    :param tokens: number of tokens that are asked for or lent.
    """

    format: int
    sender: str
    is_request: bool
    workspace: str
    tokens: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


_decoder = msgspec.msgpack.Decoder(QuotaMessage)


def decode(data):
    """Return the QuotaMessage that bytes encode.

    :raises ValueError: if the bytes encode none, or one of another format.
    """
    return versioned.decode(_decoder, data, FORMAT)
