"""State of one target, kept by the dispatcher of its replica set."""

from savorycross.catalogue import state
from savorycross.relay import latency
from savorycross.relay import limiter

IDLE_BEFORE_PROBE_S = 4.0
COLD_PROBE_PAUSE_S = 0.02


class Replica:
    """Tracks the limits, latency, holdings and availability of a target.

    :param target: the declared Target.
    :param share: number of instances among which its slots are divided.
    """

    def __init__(self, target, share=1):
        self.target = target
        self.name = target.name
        slots = max(1, target.slots // share)
        self.limiter = limiter.ConcurrencyLimiter(slots, target.cold_slots)
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
