"""What a target last said about the rate of requests that it takes."""

import dataclasses
import math

# Ages are given to other instances as whole milliseconds.
NEVER = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The newest statement of a target, as far as this instance knows.

    :param rate_per_s: requests a second that the target takes from all
        instances together, or None if it states no limit.
    :param sent_at: runtime clock time, in seconds, at which the request was
        sent whose answer contained the statement.
    """

    rate_per_s: float | None = None
    sent_at: float = NEVER

    def update(self, rate_per_s, sent_at, received_at):
        """Return the statement in force after an answer.

        Answers may overtake each other. So an answer without a limit ends
        one only if its request was sent after the limit was last confirmed.

        :param rate_per_s: limit in the answer, or None.
        :param sent_at: runtime clock time at which its request was sent.
        :param received_at: runtime clock time of the answer.

        >>> stated = Statement().update(9.0, sent_at=1.0, received_at=1.2)
        >>> stated.update(None, sent_at=1.1, received_at=1.3).rate_per_s
        9.0
        >>> stated.update(None, sent_at=1.3, received_at=1.4).rate_per_s
        """
        if rate_per_s is not None:
            return Statement(rate_per_s, received_at)
        if sent_at < self.sent_at:
            return self
        return Statement(None, sent_at)


def parse_rate(text):
    """Return the requests a second that a header states, or None.

    :param text: value of the header as bytes, or None.

    >>> parse_rate(b'9.5'), parse_rate(b'many'), parse_rate(None)
    (9.5, None, None)
    """
    if text is None:
        return None
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    return rate_per_s if 0.0 <= rate_per_s < math.inf else None
