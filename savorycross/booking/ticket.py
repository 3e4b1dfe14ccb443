"""Signed tickets, each of which lets a booking run at most once."""

import dataclasses
import hashlib
import hmac

from savorycross import errors

_MAC_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket that one process of one instance issued.

    :param instance: name of the instance.
    :param incarnation: incarnation of the process.
    :param number: number of the ticket, unique within the process.
    :param issued_ms: wall clock, milliseconds since the epoch.
    """

    instance: str
    incarnation: int
    number: int
    issued_ms: int


class TicketIssuer:
    """Issues tickets and verifies them.

    A ticket ends in a message authentication code, so callers cannot forge
    one.

    :param instance: name of this instance.
    :param incarnation: incarnation of this process.
    :param secret: key of the authentication code; bytes that no caller knows.

    >>> issuer = TicketIssuer('entry-1', 7, b'secret')
    >>> text = issuer.issue(1000)
    >>> issuer.verify(parse(text), text)
    True
    >>> forged = text.replace('3e8', '3e9')
    >>> issuer.verify(parse(forged), forged)
    False
    """

    def __init__(self, instance, incarnation, secret):
        self._instance = instance
        self._incarnation = incarnation
        self._secret = secret
        self._issued_count = 0

    def issue(self, wall_ms):
        """Return a new ticket as text.

        :param wall_ms: wall clock, milliseconds since the epoch.
        """
        self._issued_count += 1
        signed_text = (
            f'{self._instance}~{self._incarnation:x}'
            f'~{self._issued_count:x}~{wall_ms:x}'
        )
        return f'{signed_text}~{self._mac(signed_text)}'

    def is_own(self, ticket):
        """Return whether a ticket names this process as its issuer."""
        return (ticket.instance, ticket.incarnation) == (
            self._instance,
            self._incarnation,
        )

    def verify(self, ticket, text):
        """Return whether this process issued a ticket.

        :param ticket: the parsed Ticket.
        :param text: the ticket as text.
        """
        signed_text, _, mac = text.rpartition('~')
        is_authentic = hmac.compare_digest(mac, self._mac(signed_text))
        return is_authentic and self.is_own(ticket)

    def _mac(self, signed_text):
        return hashlib.blake2b(
            signed_text.encode(), key=self._secret, digest_size=_MAC_BYTES
        ).hexdigest()


def parse(text):
    """Return the Ticket that a text encodes, without verifying it.

    :raises TicketInvalidError: if the text is malformed.
    """
    try:
        instance, incarnation, number, issued, _ = text.split('~')
        return Ticket(
            instance, int(incarnation, 16), int(number, 16), int(issued, 16)
        )
    except ValueError:
        raise errors.TicketInvalidError(
            f'malformed ticket: {text[:80]!r}'
        ) from None
