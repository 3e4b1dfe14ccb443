"""Chooses whom to ask for tokens when own sends lack them.

Load pattern: calls reach instances at random, so that one lacks tokens for a
target while another has some left. The one that lacks a token asks those that
hold parts, one after the other. Once all have been asked in vain, it asks
nobody for a short time, and calls that need a token are refused at once.
"""

# Time after which a reply counts as lost.
REPLY_S = 0.05
# Time for which nobody is asked again after all were asked in vain.
PAUSE_S = 0.2


class Borrowing:
    """Asks the holders of the parts of one rate in turn.

    :param reply_s: seconds after which a reply counts as lost.
    """

    def __init__(self, reply_s=REPLY_S):
        self._reply_s = reply_s
        self._untried = []
        self._is_in_round = False
        self._reply_until = 0.0
        self._paused_until = 0.0
        self._asked = None
        self._last_lender = None

    def is_waiting(self, now):
        """Return whether a reply is due."""
        return now < self._reply_until

    def is_paused(self, now):
        """Return whether all holders were asked in vain lately."""
        return now < self._paused_until

    def choose(self, holders, rng, now):
        """Return the name of the instance to ask for a token now, or None.

        The one that lent last is asked first.

        :param holders: names of the other instances that hold parts.
        :param rng: random.Random for the order of a round.
        :param now: runtime clock time in seconds.
        """
        if self.is_waiting(now) or self.is_paused(now):
            return None
        if not self._is_in_round:
            self._untried = list(holders)
            rng.shuffle(self._untried)
            if self._last_lender in self._untried:
                self._untried.remove(self._last_lender)
                self._untried.append(self._last_lender)
        self._is_in_round = bool(self._untried)
        if not self._untried:
            self._paused_until = now + PAUSE_S
            return None
        self._reply_until = now + self._reply_s
        self._asked = self._untried.pop()
        return self._asked

    def record_reply(self, lender, tokens, now):
        """Record the reply of a holder; return whether it is the one due.

        The tokens of a copy, or of one after which another was asked, are
        not used.

        :param lender: its name.
        :param tokens: number of tokens that it lent.
        """
        if lender != self._asked:
            return False
        self._asked = None
        self._reply_until = now
        if tokens:
            self._last_lender = lender
            self._is_in_round = False
            self._paused_until = now
        elif not self._untried:
            self._is_in_round = False
            self._paused_until = now + PAUSE_S
        return True
