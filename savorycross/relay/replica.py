"""State of one target, kept by the dispatcher of its replica set."""

from savorycross.catalogue import state
from savorycross.rate import limiter as rate_limiter
from savorycross.rate import ownership
from savorycross.rate import statement
from savorycross.relay import latency
from savorycross.relay import limiter

IDLE_BEFORE_PROBE_S = 4.0
COLD_PROBE_PAUSE_S = 0.02


class Replica:
    """Tracks the limits, latency, holdings and availability of a target.

    ``rate`` is the RateLimiter of all requests to the target.

    :param target: the declared Target.
    :param share: number of instances among which its slots are divided.
    """

    def __init__(self, target, share=1):
        self.target = target
        self.name = target.name
        slots = max(1, target.slots // share)
        self.limiter = limiter.ConcurrencyLimiter(slots, target.cold_slots)
        self.rate = rate_limiter.RateLimiter(
            target.name, 0.0, ownership.divide
        )
        self.latency = latency.Ewma()
        self.state = state.State.OPEN
        self.draining = False
        self.holdings = {}
        self.stated_holdings = ()
        self.last_sent_at = 0.0

    @property
    def is_open(self):
        """Whether the target is available for new requests."""
        return self.state is state.State.OPEN and not self.draining

    @property
    def is_identified(self):
        """Whether the target has stated its boot identity."""
        return bool(self.limiter.boot)

    def holds(self, job):
        """Return whether the target holds the shard and snapshot of a job.

        Until the target has identified itself, its declared shards count.
        """
        if not job.repeatable:
            return True
        if not self.is_identified:
            return job.number in self.target.shards
        shards = self.holdings.get((job.version, job.epoch))
        return shards is not None and job.number in shards

    def matches(self, target):
        """Return whether a declaration has the same address and limits."""
        own = self.target
        return (own.host, own.port, own.slots, own.cold_slots) == (
            target.host,
            target.port,
            target.slots,
            target.cold_slots,
        )

    def update_inventory(self, inventory):
        """Update holdings, phase and draining from an inventory.

        :param inventory: TargetInventory.
        """
        self.draining = inventory.draining
        self.limiter.observe(inventory.boot, inventory.warm)
        if inventory.holdings == self.stated_holdings:
            return
        self.stated_holdings = inventory.holdings
        self.holdings = {
            (h.snapshot.version, h.snapshot.epoch): frozenset(h.shards)
            for h in inventory.holdings
        }

    def record_rate(self, rate_per_s, sent_at, views, now):
        """Record what a reply of the target says about its rate.

        :param rate_per_s: requests a second that the target takes, or None.
        :param sent_at: runtime clock time at which the request was sent.
        :param views: CERTAIN_OWNER or UNCERTAIN_OWNER.
        """
        stated = self.rate.statement.update(rate_per_s, sent_at, now)
        self.rate.record(stated, views, now)

    def adopt_rate(self, rate_per_s, views, now):
        """Adopt a limit that a peer has published, if no reply told one.

        The next reply of the target replaces it.
        """
        if rate_per_s is not None and not self.rate.is_limited:
            self.rate.record(statement.Statement(rate_per_s), views, now)

    def is_due_for_probe(self, now):
        """Return whether the target has been idle for long.

        A target in a cold start is due much sooner, because it needs
        requests to become warm.
        """
        if self.limiter.in_flight:
            return False
        pause = COLD_PROBE_PAUSE_S
        if self.limiter.is_warm:
            pause = IDLE_BEFORE_PROBE_S
        return now - self.last_sent_at >= pause

    def drop_snapshot(self, job):
        """Remove a job's snapshot from the holdings of the target."""
        gone = (job.version, job.epoch)
        self.holdings.pop(gone, None)
        self.stated_holdings = tuple(
            h
            for h in self.stated_holdings
            if (h.snapshot.version, h.snapshot.epoch) != gone
        )
