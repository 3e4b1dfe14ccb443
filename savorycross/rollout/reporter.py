"""Reports between instances, and what they tell about the new version.

Load pattern: each of hundreds of instances has some of the answers, of
several roll-outs at once, and a bad version must stop everywhere within
seconds. Reports go to the few instances ranked first for the service, each of
which can find the version bad and warn all that take callers. Their answers
to reports confirm that it is not known to be bad. All that goes from one
instance to another at a time is one datagram; see ``pace`` for their interval.
"""

from savorycross.rollout import exposure
from savorycross.rollout import pace as paces
from savorycross.rollout import pool as pools
from savorycross.rollout import protocol

# Reports go out by this part of a tick earlier, as ticks are not exactly in
# time.
MAX_JITTER_PART = 0.2
# How often a warning is repeated, as messages get lost.
WARNINGS = 4


class Reporter:
    """Makes and takes in the reports on roll-outs.

    :param engine: Engine.
    :param own: name of this instance.
    :param is_connected: callable that returns whether the store answers.
    :param send: callable that takes the name of an instance and a datagram.
    :param timing: Timing.
    """

    def __init__(self, engine, own, is_connected, send, timing):
        self._engine = engine
        self._own = own
        self._is_connected = is_connected
        self._send = send
        self._timing = timing
        self._pace = paces.Pace(timing)
        self._reported_at = 0.0
        self._sent = {}

    def report(self, entries, shares, now):
        """Report to the instances that decide, this one included.

        :param entries: Entries of the roll-outs in progress.
        :param shares: LimitShares of the instances that take callers.
        """
        jitter_s = MAX_JITTER_PART * self._timing.tick_s
        if now - self._reported_at < self._pace.interval_s - jitter_s:
            return
        self._reported_at = now
        reports = {}
        rows_left = self._pace.max_rows
        for entry in sorted(entries, key=lambda e: e.summed_at):
            limit = min(rows_left, protocol.MAX_ROWS)
            report = self._report_one(entry, shares, limit, now)
            if report is None:
                continue
            rows_left -= len(report.rows)
            for name in entry.rollout.confirmations.deciders:
                if name != self._own:
                    reports.setdefault(name, []).append(report)
        self._forget_sent(now)
        sent_bytes = 0
        for name, told in reports.items():
            for start in range(0, len(told), protocol.MAX_REPORTS):
                part = told[start : start + protocol.MAX_REPORTS]
                sent_bytes += self._send_reports(name, part, now)
        self._pace.adjust(sent_bytes)

    def _report_one(self, entry, shares, max_rows, now):
        """Return the Report on a roll-out, or None if there is none to make.

        :param max_rows: number of its rows; with 0, it has no sums.
        """
        rollout = entry.rollout
        record = rollout.record
        if record is None or not record.is_for(rollout.order):
            return None
        # One that takes no callers any more may still have some, which it
        # refuses in the last step without a confirmation.
        if not (rollout.exposure.requests or shares.is_sender):
            return None
        pairs, links = {}, {}
        if max_rows:
            pairs = rollout.answers.take(max_rows)
            links = rollout.losses.take(self._is_listed, now)
            entry.summed_at = now
        report = self._make_report(rollout, now, pairs, links)
        ranked = shares.rank(rollout.service)[: pools.MAX_POOLS]
        rollout.confirmations.set_deciders(ranked)
        rollout.confirmations.tell(rollout.facts, protocol.round_time(now))
        if self._own in ranked:
            own = (self._own, self._engine.data_centre)
            entry.find_pool(self._timing).add(own, report, pairs, links, now)
            if len(ranked) > 1 or self._is_connected():
                rollout.confirmations.add(self._own, now, now)
        return report

    def _send_reports(self, name, reports, now):
        """Send Reports in one datagram; return its bytes."""
        sent_ms = int(now * 1000)
        runs = self._sent.setdefault((name, sent_ms), {})
        runs.update((r.service, r.run) for r in reports)
        return self._send_batch(
            name,
            protocol.Batch(
                protocol.FORMAT,
                self._own,
                self._engine.data_centre,
                False,
                sent_ms,
                tuple(reports),
            ),
        )

    def _forget_sent(self, now):
        """Forget batches whose answers would confirm nothing any more."""
        oldest_ms = (now - self._timing.confirmed_s) * 1000
        self._sent = {
            key: runs for key, runs in self._sent.items() if key[1] > oldest_ms
        }

    def receive(self, batch, sums, entries, now):
        """Take in what another instance tells.

        :param batch: Batch.
        :param sums: pairs of Sums by stratum, and LinkSums by data centre, by
            service.
        :param entries: Entries by service.
        :returns: Entries whose phase has to be updated.
        """
        known = []
        for report in batch.reports:
            entry = entries.get(report.service)
            if entry is not None and report.is_for(
                entry.rollout.order, entry.rollout.record
            ):
                known.append((entry, report))
        changed = []
        for entry, report in known:
            facts = entry.rollout.facts
            self._learn(entry.rollout, report, now)
            if entry.rollout.facts != facts:
                changed.append(entry)
        if batch.is_answer:
            self._confirm(batch, entries, now)
            return changed
        news = []
        for entry, report in known:
            sender = (batch.sender, batch.data_centre)
            pool = entry.find_pool(self._timing)
            pool.add(sender, report, *sums[report.service], now)
            answer = self._make_report(entry.rollout, now)
            if _is_news(answer, report):
                news.append(answer)
        services = {report.service for _, report in known}
        unknown = {r.service for r in batch.reports} - services
        self._send_answer(batch.sender, batch.sent_ms, news, unknown)
        return changed

    def _learn(self, rollout, report, now):
        if report.age_ms is not None:
            rollout.set_age(report.age_ms / 1000, now)
        if report.is_moving:
            rollout.note_moving()
        if report.reason:
            self._halt(rollout, report.reason)

    def _confirm(self, batch, entries, now):
        """Note which roll-outs an answer confirms; a warning none."""
        runs = self._sent.get((batch.sender, batch.sent_ms), {})
        for service, run in runs.items():
            entry = entries.get(service)
            if entry is None or service in batch.unknown:
                continue
            record = entry.rollout.record
            if record is not None and record.run == run:
                sent_at = min(batch.sent_ms / 1000, now)
                entry.rollout.confirmations.add(batch.sender, sent_at, now)

    def evaluate(self, entry, shares, now):
        """Evaluate the reports, and warn all senders of a bad version."""
        rollout = entry.rollout
        if entry.pool is None or now - entry.closed_at < self._timing.block_s:
            return
        entry.closed_at = now
        reason = entry.pool.evaluation.close_block(
            rollout.phase is not exposure.Phase.NEW_ONLY
        )
        if reason and entry.run == rollout.record.run:
            self._halt(rollout, reason)
        if rollout.reason and entry.warnings < WARNINGS:
            entry.warnings += 1
            warning = self._make_report(rollout, now)
            for name in shares.senders:
                if name != self._own:
                    self._send_answer(name, None, [warning])

    def _is_listed(self, state):
        registry = self._engine.target_registry
        return registry.find(state.target.id) is state

    def _halt(self, rollout, reason):
        if rollout.halt(reason):
            self._engine.log.event(
                'rollout.bad',
                service=rollout.service,
                version=rollout.order.to_version,
                reason=reason,
            )

    def _make_report(self, rollout, now, pairs=(), links=()):
        order = rollout.order
        age_ms = None
        if rollout.is_witness:
            age_ms = int(rollout.age_s(now) * 1000)
        states = self._engine.target_registry.list_service(order.service)
        return protocol.Report(
            order.service,
            order.to_version,
            order.over_s,
            rollout.record.run,
            age_ms,
            rollout.reason,
            sum(len(s.outstanding) for s in states if not rollout.is_new(s)),
            rollout.phase is exposure.Phase.NEW_ONLY,
            rollout.record.is_moving,
            tuple(protocol.make_row(*item) for item in dict(pairs).items()),
            tuple(protocol.make_link_row(*i) for i in dict(links).items()),
        )

    def _send_answer(self, name, sent_ms, reports, unknown=()):
        self._send_batch(
            name,
            protocol.Batch(
                protocol.FORMAT,
                self._own,
                '',
                True,
                sent_ms,
                tuple(reports),
                tuple(unknown),
            ),
        )

    def _send_batch(self, name, batch):
        """Send a Batch; return its bytes."""
        data = protocol.encode(batch)
        self._engine.metrics.count('rollout_messages', direction='sent')
        self._send(name, data)
        return len(data)


def _is_news(answer, report):
    """Return whether the sender of a report lacks what an answer tells."""
    return (
        (answer.reason and not report.reason)
        or (answer.is_moving and not report.is_moving)
        or (answer.age_ms is not None and report.age_ms is None)
    )
