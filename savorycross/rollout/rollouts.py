"""The roll-outs of all services, as this instance sees and decides them.

Load pattern: orders are rare, and services without one pay nothing. During a
roll-out each instance reports to a few others, twice a second or less often,
and these decide; see ``status``. Messages and the time are passed in, reports
and writes are returned or handed to callables.
"""

from savorycross.rollout import entry as entries
from savorycross.rollout import order as orders
from savorycross.rollout import protocol
from savorycross.rollout import reporter as reporters
from savorycross.rollout import rollout as rollouts
from savorycross.rollout import timing as timings
from savorycross.rollout import write_plan


class Rollouts:
    """Follows orders, reports to other instances, and decides what to write.

    ``timing`` is the Timing, by the bound in the limits.

    :param view: StoreView.
    :param engine: Engine, whose ``rollouts`` it fills.
    :param own: name of this instance.
    :param data_centre: this instance's data centre.
    :param limits: RolloutLimits.
    :param read_shares: callable that returns the LimitShares in force.
    :param send: callable that takes the name of an instance and a datagram.
    :param read_wall_clock: callable that returns seconds.
    """

    def __init__(
        self,
        view,
        engine,
        own,
        data_centre,
        limits,
        read_shares,
        send,
        read_wall_clock,
    ):
        self._view = view
        self._engine = engine
        self._data_centre = data_centre
        self._limits = limits
        self.timing = timings.make_timing(limits.revert_s)
        self._read_shares = read_shares
        self._read_wall_clock = read_wall_clock
        self._reporter = reporters.Reporter(
            engine, own, view.is_connected, send, self.timing
        )
        self._entries = {}

    def on_item(self, key, item):
        """Apply a change of the store.

        :param item: new Item, or None if the key was removed.
        """
        change = self._view.read(key, item)
        if change is None:
            return
        now = self._engine.now()
        wall_now = self._read_wall_clock()
        entry = self._entries.get(change.service)
        if entry is None:
            rollout = rollouts.Rollout(
                change.service,
                self._data_centre,
                self._limits.share,
                self.timing,
            )
            entry = entries.Entry(rollout)
            self._entries[change.service] = entry
        rollout = entry.rollout
        if change.is_order:
            states = self._engine.target_registry.list_service(change.service)
            rollout.set_order(change.value, now, change.is_live, states)
            record = rollout.record
            if record is not None and record.is_for(change.value):
                rollout.set_age(max(0.0, wall_now - record.started_at), now)
            self._log_order(rollout)
        elif change.value is not None:
            self._take_record(rollout, change.value)
        self._refresh(entry, now)

    def tick(self):
        """Update phases, report to others and evaluate.

        It is called each ``timing.tick_s``.
        """
        now = self._engine.now()
        self._view.note_era()
        self._engine.metrics.set_gauge('rollouts', len(self._entries))
        if not self._entries:
            return
        shares = self._read_shares()
        ordered = []
        for entry in list(self._entries.values()):
            if entry.is_settled:
                self._check_settled(entry, now)
                continue
            self._refresh(entry, now)
            if entry.rollout.order is not None:
                ordered.append(entry)
                self._give_credit(entry, shares)
        self._reporter.report(ordered, shares, now)
        for entry in ordered:
            self._reporter.evaluate(entry, shares, now)
            self._refresh(entry, now)

    def on_message(self, data):
        """Take in a datagram of another instance."""
        metrics = self._engine.metrics
        try:
            batch = protocol.decode(data)
            sums = {
                r.service: (r.read_pairs(), r.read_links())
                for r in batch.reports
            }
        except ValueError:
            metrics.count('rollout_messages_invalid')
            return
        metrics.count('rollout_messages', direction='received')
        now = self._engine.now()
        for entry in self._reporter.receive(batch, sums, self._entries, now):
            self._refresh(entry, now)

    def list_writes(self):
        """Return the store_view.Writes that this instance makes now."""
        if not self._view.is_complete:
            # Targets of the new version may not have been listed yet.
            return []
        now = self._engine.now()
        shares = self._read_shares()
        records = [
            write_plan.choose_record(
                entry, self._view, shares, now, self._read_wall_clock()
            )
            for entry in self._entries.values()
        ]
        return [self._view.make_write(r) for r in records if r is not None]

    def record_write(self, write, outcome):
        """Note the outcome of a write.

        :param outcome: 'written', 'conflict' or 'unavailable'.
        """
        service = write.record.order.service
        record = write.record
        self._engine.metrics.count('rollout_writes', outcome=outcome)
        self._engine.log.event(
            f'rollout.{outcome}',
            service=service,
            version=record.order.to_version,
            state=record.state.value,
            is_moving=record.is_moving,
        )
        entry = self._entries.get(service)
        if entry is None:
            return
        now = self._engine.now()
        entry.not_before = now + write_plan.RETRY_S
        if outcome == 'written':
            entry.written_at = now
            self._take_record(entry.rollout, record)
            self._refresh(entry, now)

    def _give_credit(self, entry, shares):
        """Give the new version this instance's part of the slack, once."""
        rollout = entry.rollout
        record = rollout.record
        if record is None or entry.credited_run == record.run:
            return
        if not record.is_for(rollout.order):
            return
        entry.credited_run = record.run
        slack = orders.CREDIT_PART * self._limits.slack
        rollout.exposure.credit = shares.units(slack, rollout.service)

    def _check_settled(self, entry, now):
        """Apply an end to targets that have become known since."""
        if now - entry.settled_at >= write_plan.SETTLED_S:
            entry.settled_at = now
            self._refresh(entry, now)

    def _take_record(self, rollout, record):
        now = self._engine.now()
        if not rollout.set_record(record, now, self._read_wall_clock()):
            return
        self._engine.log.event(
            'rollout.state',
            service=rollout.service,
            version=record.order.to_version,
            state=record.state.value,
            is_moving=record.is_moving,
            is_withdrawn=record.is_withdrawn,
        )

    def _refresh(self, entry, now):
        """Update the phase, and drop a roll-out that is over."""
        rollout = entry.rollout
        engine = self._engine
        states = engine.target_registry.list_service(rollout.service)
        if rollout.is_over:
            for state in states:
                state.is_withheld = False
            del self._entries[rollout.service]
            engine.rollouts.pop(rollout.service, None)
            engine.wake_line(rollout.service)
            return
        engine.rollouts[rollout.service] = rollout
        if not rollout.refresh(
            now, states, engine.target_registry.is_available
        ):
            return
        engine.log.event(
            'rollout.phase',
            service=rollout.service,
            phase=rollout.phase.value,
            requests=rollout.exposure.requests,
            new_sends=rollout.exposure.new_sends,
        )
        engine.wake_line(rollout.service)

    def _log_order(self, rollout):
        order = rollout.order
        if order is None:
            self._engine.log.event(
                'rollout.withdrawn', service=rollout.service
            )
            return
        self._engine.log.event(
            'rollout.ordered',
            service=order.service,
            version=order.to_version,
            over_s=order.over_s,
            is_witness=rollout.is_witness,
        )
