"""Token bucket that limits hedges, probes and retries together."""

import enum

EXTRA_RATIO = 0.05
MAX_TOKENS = 20.0
INITIAL_TOKENS = 5.0


class Purpose(enum.Enum):
    """What an extra send is for.

    The value is the number of tokens that the send must leave in the
    bucket, as a reserve for purposes of a lower value.
    """

    RETRY = 0.0
    HEDGE = 1.0
    WARMING = 4.0
    PROBE = 8.0


class ExtraLoadBudget:
    """Limits sends beyond first sends to a ratio of first sends.

    :param ratio: tokens added for each first send.
    :param capacity: most tokens that the bucket holds.
    :param initial: tokens in the bucket at the start.

    >>> budget = ExtraLoadBudget(ratio=0.5, initial=0.0)
    >>> budget.try_withdraw(Purpose.RETRY)
    False
    >>> budget.deposit(); budget.deposit()
    >>> budget.try_withdraw(Purpose.RETRY)
    True
    """

    def __init__(
        self, ratio=EXTRA_RATIO, capacity=MAX_TOKENS, initial=INITIAL_TOKENS
    ):
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(initial, capacity)
        self.first_sends = 0
        self.extra_sends = 0

    def deposit(self):
        """Count a first send and add its share of a token."""
        self.first_sends += 1
        self._tokens = min(self._tokens + self._ratio, self._capacity)

    def try_withdraw(self, purpose):
        """Take a token unless that would cut into a reserve.

        :param purpose: Purpose of the extra send.
        :returns: whether the token was taken.
        """
        if self._tokens < 1.0 + purpose.value:
            return False
        self._tokens -= 1.0
        self.extra_sends += 1
        return True
