"""Decides whether keys may be judged by the configuration in force.

Load pattern: an instance that is cut off from the store, frozen or slow goes
on to serve callers whose key was withdrawn. So it judges keys only for as
long as a read of the store, which is linearizable, has confirmed that no
newer configuration exists. As with a lease (Gray and Cheriton, 1989), the
time counts from the moment at which the read was sent: the store may have
answered it right after that, and the answer may be late.

Only instances that need it confirm: those that take callers, and those that
had a request with a key a short time ago.
"""

import math

# The rest of the bound is for the difference of clock rates, and for requests
# that are read and not yet judged.
LIMIT_PART = 0.9
INTERVAL_S = 1.0
# A short bound needs confirmations more often than each second.
INTERVAL_PART = 0.25
# Part of the limit from one read to the next while the store answers; each
# costs the store. The rest suffices to serve for 0.6 of the bound without it.
CALM_PART = 1 / 3
# Part of the calm time after which an instance asks a peer, and the peer reads
# the store again. A confirmation that is passed on is older than one of the
# instance's own, and must not be too old to serve for 0.6 of the bound.
SHARED_PART = 0.5
# Time for which a peer that was asked reads more often.
ASKED_S = 3.0
# After a confirmation that failed at once.
RETRY_S = 0.4
# Seconds after the last request with a key, or the last time at which callers
# were told to use the instance, for which it confirms. Callers use outdated
# lists for up to 5 s.
WANTED_S = 10.0
# Bounds on the time after which a refused caller is told to return. The first
# request after a quiet time finds the instance confirmed after one read of
# the store; if the store does not answer, all instances are soon unconfirmed.
MIN_RETURN_S = 0.1
MAX_RETURN_S = 2.0


class Freshness:
    """When the configuration in force was last confirmed to be the newest.

    All times are seconds of one clock that goes on while the process is
    stopped or the machine suspended.

    :param bound_s: seconds after which a withdrawn key must not work, or
        None if there is no such bound.
    """

    def __init__(self, bound_s=None):
        self._bound_s = bound_s
        self._confirmed_at = -math.inf
        self._wanted_at = -math.inf
        self._wanted_since = -math.inf
        self._sent_at = -math.inf
        self._due_at = -math.inf
        self._asked_at = -math.inf

    @property
    def bound_s(self):
        """Seconds after which a withdrawn key must not work, or None."""
        return self._bound_s

    @bound_s.setter
    def bound_s(self, bound_s):
        """Set the bound; the next read is due by the new one."""
        self._bound_s = bound_s
        if bound_s is not None:
            due_at = self._confirmed_at + self._calm_s
            self._due_at = min(self._due_at, due_at)

    @property
    def limit_s(self):
        """Seconds for which a confirmation holds; infinite without a bound."""
        return math.inf if self.bound_s is None else LIMIT_PART * self.bound_s

    @property
    def _calm_s(self):
        """Seconds between two reads while the store answers."""
        return CALM_PART * self.limit_s

    @property
    def _shared_s(self):
        """The same while confirmations are passed on."""
        return SHARED_PART * self._calm_s

    @property
    def _interval_s(self):
        return min(INTERVAL_S, INTERVAL_PART * self.limit_s)

    @property
    def timeout_s(self):
        """Seconds after which the answer to a read is of little use.

        As a read is sent each interval, fewer than four wait at a time, and
        a store that answers in less keeps the instance fresh.
        """
        return min(3.0, self.limit_s - 1.5 * self._interval_s)

    def confirm(self, sent_at):
        """Note that the configuration in force is the store's newest one.

        :param sent_at: time at which the read that shows this was sent.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)
        if self.bound_s is not None:
            is_shared = sent_at - self._asked_at <= ASKED_S
            pause_s = self._shared_s if is_shared else self._calm_s
            self._due_at = max(self._due_at, sent_at + pause_s)

    def note_asked(self, now):
        """Note that a peer relies on the confirmations of this instance."""
        if now - self._asked_at > ASKED_S and self.bound_s is not None:
            due_at = self._confirmed_at + self._shared_s
            self._due_at = min(self._due_at, due_at)
        self._asked_at = now

    def needs_peer(self, now, is_first):
        """Return whether a peer is to be asked for a confirmation.

        :param is_first: whether this instance reads the store for the others,
            so that it asks them only if its reads fail.
        """
        if self.bound_s is None or not self.is_wanted(now):
            return False
        return self.age_s(now) >= (
            self._calm_s if is_first else self._shared_s
        )

    def age_s(self, now):
        """Return the seconds since the last confirmation was sent."""
        return now - self._confirmed_at

    def is_fresh(self, now):
        """Return whether keys may be judged.

        >>> freshness = Freshness(5.0)
        >>> freshness.confirm(10.0)
        >>> freshness.is_fresh(14.5), freshness.is_fresh(14.6)
        (True, False)
        """
        return self.bound_s is None or self.age_s(now) <= self.limit_s

    def want(self, now):
        """Note that the instance takes callers, or had a key."""
        if not self.is_wanted(now):
            self._wanted_since = now
        self._wanted_at = now

    def is_wanted(self, now):
        """Return whether the instance is to confirm at all."""
        return now - self._wanted_at <= WANTED_S

    def is_due(self, now):
        """Return whether a read is to be sent now."""
        return (
            self.bound_s is not None
            and self.is_wanted(now)
            and now >= self._due_at
        )

    def note_sent(self, now):
        """Note that a read is sent."""
        self._sent_at = now
        self._due_at = now + self._interval_s

    def note_failure(self, sent_at, now):
        """Note that a read failed; the next one is sent soon.

        A read that failed late doesn't matter, as later ones were sent.

        :param sent_at: time at which it was sent.
        """
        if sent_at == self._sent_at:
            retry_s = min(RETRY_S, self._interval_s)
            self._due_at = min(self._due_at, now + retry_s)

    def choose_return_s(self, now):
        """Return the seconds after which a refused caller is to return.

        The longer the instance lacks a confirmation, the later.
        """
        lacking_s = self._lacking_s(now)
        return min(max(lacking_s / 2, MIN_RETURN_S), MAX_RETURN_S)

    def is_overdue(self, now):
        """Return whether a confirmation is lacking in spite of reads."""
        return (
            self.bound_s is not None
            and self.is_wanted(now)
            and self._lacking_s(now) > self._interval_s / 2
        )

    def _lacking_s(self, now):
        """Return the seconds for which a confirmation was needed in vain."""
        stale_at = max(self._confirmed_at + self.limit_s, self._wanted_since)
        return now - stale_at
