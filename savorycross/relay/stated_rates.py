"""Keeps all requests to the targets of a replica set within stated rates."""

from savorycross.rate import ownership
from savorycross.relay import job as jobs

# Replies with these statuses state the target's rate, or that it has none. A
# refusal can state a rate; one without says nothing.
ANSWER_STATUSES = frozenset(
    {jobs.Status.OK, jobs.Status.VERSION_GONE, jobs.Status.CANCELLED}
)
# Part of the rate that is for requests of the target's inventory, and the
# longest time between two of them.
CHECK_PART = 0.1
MAX_CHECK_INTERVAL_S = 10.0


class StatedRates:
    """Applies the RateLimiters of replicas by how certain ownership is.

    :param is_certain_owner: callable of a target's name and the time; returns
        whether this instance is certain to be its only owner.
    """

    def __init__(self, is_certain_owner):
        self._is_certain_owner = is_certain_owner

    def _views(self, replica, now):
        if self._is_certain_owner(replica.name, now):
            return ownership.CERTAIN_OWNER
        return ownership.UNCERTAIN_OWNER

    def record_result(self, replica, result, sent_at, now):
        """Record what the result of an attempt says about a rate.

        :param result: AttemptResult.
        :param sent_at: runtime clock time of the attempt, seconds.
        """
        is_answer = result.status in ANSWER_STATUSES
        if is_answer or result.rate_per_s is not None:
            self.record_statement(replica, result.rate_per_s, sent_at, now)

    def record_statement(self, replica, rate_per_s, sent_at, now):
        """Record the rate in a reply, or that it states none.

        :param rate_per_s: requests a second that the target takes, or None.
        :param sent_at: runtime clock time at which the request was sent.
        """
        views = self._views(replica, now)
        replica.record_rate(rate_per_s, sent_at, views, now)

    def adopt(self, replica, rate_per_s, now):
        """Adopt the rate of a target that a peer has published."""
        replica.adopt_rate(rate_per_s, self._views(replica, now), now)

    def may_send(self, replica, now, is_extra):
        """Return whether an attempt is allowed now.

        :param is_extra: whether the job is at another replica already; its
            copies leave tokens for jobs that are at none.
        """
        return not replica.rate.is_limited or replica.rate.may_send(
            self._views(replica, now), now, keeps_reserve=is_extra
        )

    def next_send_at(self, replica, now):
        """Return the runtime clock time at which an attempt is allowed."""
        return replica.rate.next_send_at(self._views(replica, now), now)

    def count_attempt(self, replica, now):
        """Count an attempt that is allowed."""
        replica.rate.take(self._views(replica, now), now)

    def count_request(self, replica, now):
        """Count a request that is not an attempt, allowed or not."""
        replica.rate.charge(self._views(replica, now), now)

    def check_interval_s(self, replica, now):
        """Return how long to wait between requests of the inventory.

        :returns: seconds; 0 if the target states no rate.
        """
        if not replica.rate.is_limited:
            return 0.0
        rate_per_s = replica.rate.rate_per_s(self._views(replica, now), now)
        return min(1.0 / (CHECK_PART * rate_per_s), MAX_CHECK_INTERVAL_S)

    def allow_in_time(self, replicas, count, until, now):
        """Return whether some replicas may get a number of attempts by a time.

        :param replicas: Replicas among which the attempts are spread.
        :param count: number of attempts.
        :param until: runtime clock time, seconds.
        """
        if not replicas or not all(r.rate.is_limited for r in replicas):
            return True
        tokens = sum(
            r.rate.expect(self._views(r, now), until, now) for r in replicas
        )
        return tokens >= count
