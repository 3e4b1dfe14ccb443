"""Chooses whom to ask for tokens when own sends lack them.

Load pattern: calls reach instances at random, so that one lacks tokens for a
target while another has some left. The one that lacks a token asks those that
hold parts, one after the other. Once all have been asked in vain, it asks
nobody for a short time, and calls that need a token are refused at once.
Those that did not reply lately may have ended, and are asked last.
"""

# Time after which a reply counts as lost.
REPLY_S = 0.05
# Time for which nobody is asked again after all were asked in vain.
PAUSE_S = 0.2
# Time for which an instance that did not reply is asked last.
SILENT_S = 1.0


class Borrowing:
    """Asks the holders of the parts of one rate in turn.

    :param reply_s: seconds after which a reply counts as lost.
    :param max_pause_s: the pause doubles up to this while rounds are in vain.
    :param rotates: whether each holder is asked once in a round even if
        others have lent tokens, as the holders have about as many.
    """

    def __init__(self, reply_s=REPLY_S, max_pause_s=PAUSE_S, rotates=False):
        self._rotates = rotates
        self.max_pause_s = max_pause_s
        self._reply_s = reply_s
        self._pause_s = PAUSE_S
        self._has_lent = False
        self._wanted = 0
        self._silent_until = {}
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

    def choose(self, holders, rng, now, wanted=1):
        """Return the name of the instance to ask for tokens now, or None.

        The one that lent last all that was wanted is asked first.

        :param holders: names of the other instances that hold parts.
        :param rng: random.Random for the order of a round.
        :param now: runtime clock time in seconds.
        :param wanted: number of tokens that it is asked for.
        """
        if self.is_waiting(now) or self.is_paused(now):
            return None
        if self._asked is not None:
            self._silent_until[self._asked] = now + SILENT_S
            self._asked = None
        if not self._is_in_round:
            self._untried = self._order(holders, rng, now)
        self._is_in_round = bool(self._untried)
        if not self._untried:
            self._end_round(now)
            return None
        self._reply_until = now + self._reply_s
        self._asked = self._untried.pop()
        self._wanted = wanted
        return self._asked

    def _order(self, holders, rng, now):
        """Return the holders in the order of a round, the last one first."""
        names = list(holders)
        rng.shuffle(names)
        if self._last_lender in names:
            names.remove(self._last_lender)
            names.append(self._last_lender)
        self._silent_until = {
            n: until for n, until in self._silent_until.items() if until > now
        }
        names.sort(key=lambda name: name not in self._silent_until)
        return names

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
            self._has_lent = True
            self._paused_until = now
        if tokens >= self._wanted and not self._rotates:
            self._last_lender = lender
            self._is_in_round = False
        elif not self._untried:
            self._is_in_round = False
            self._end_round(now)
        return True

    def _end_round(self, now):
        """Pause if nobody has lent a token since the round before."""
        if self._has_lent:
            self._has_lent = False
            self._pause_s = PAUSE_S
            return
        self._paused_until = now + self._pause_s
        self._pause_s = max(min(2 * self._pause_s, self.max_pause_s), PAUSE_S)
