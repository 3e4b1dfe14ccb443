"""The invariants that are checked while faults come and go."""

import collections

import trio

from savorycross.merge import records
from soak import workspaces
from standins import backend as backends

DRAIN_TIMEOUT_S = 3.0
# Time after a fault during which bounds need not hold yet.
SETTLE_TIME_S = 4.5
TOP_K = 5
MIN_COVERAGE = 0.75
NOT_RUN_STATUSES = (401, 408, 421, 429, 503)
MAX_MEMORY_MB = 120
# Ratio of calls that must succeed at the end, when all faults are over.
MIN_RECOVERED_RATIO = 0.95


class Checks:
    """Collects outcomes of calls and runs of backends, and checks them.

    :param testbed: Testbed.
    """

    def __init__(self, testbed):
        self.violations = []
        self.outcomes = []
        self.runs = []
        self.left_at = {}
        self.shard_sets = []
        self.max_memory_mb = MAX_MEMORY_MB
        self._testbed = testbed

    def add_violation(self, rule, text):
        """Record a violation.

        :param rule: name of the violated rule.
        """
        self.violations.append((round(trio.current_time(), 2), rule, text))

    def add_outcome(self, outcome):
        """Record the outcome of a call and check it."""
        self.outcomes.append(outcome)
        if outcome.status == 404:
            self.add_violation(
                'denied', f'{outcome.id}: 404 of a declared route'
            )
        self._check_key(outcome)
        was_interrupted = (
            not outcome.status and 'no reply' not in outcome.reason
        )
        if was_interrupted and 'connect' not in outcome.reason:
            self._check_lost(outcome)

    def check_merged_answer(self, id_, reply):
        """Check a merged answer against the answers of the backends."""
        parts = [
            p.strip()
            for p in (reply.header(b'parts') or b'').decode().split(',')
        ]
        missing = int(reply.header(b'missing-parts') or 0)
        backend_ids = [p.partition('.')[0] for p in parts]
        services = {b.partition('+')[0] for b in backend_ids}
        if len(services) != len(parts) or any(
            p.encode() != backends.sign(b, id_)
            for p, b in zip(parts, backend_ids, strict=True)
        ):
            self.add_violation('mixed', f'{id_}: parts {parts}')
            return
        candidates = [s for s in self.shard_sets if services <= set(s)]
        if not any(len(s) == len(services) + missing for s in candidates):
            self.add_violation(
                'mixed', f'{id_}: {services} and {missing} missing'
            )
        is_current = self.shard_sets[-1] in candidates
        if self._testbed.recovered_at and not is_current:
            self.add_violation('configuration', f'{id_}: {services}')
        if len(services) < MIN_COVERAGE * (len(services) + missing):
            self.add_violation('coverage', f'{id_}: {len(services)} parts')
        bodies = [backends.make_records(s, id_) for s in services]
        if reply.body != records.merge_records(bodies, TOP_K):
            self.add_violation('mixed', f'{id_}: records')

    def check_rate(self, backend):
        """Check the requests that a backend got while it stated a limit."""
        stated = backend.stated_rate
        ratio = stated.worst_ratio(trio.current_time())
        if ratio > 1.0:
            self.add_violation(
                'limit',
                f'{backend.id}: {ratio:.2f} of the bound at '
                f'{stated.rate_per_s:.1f} a second',
            )

    def check_processes(self):
        """Check that no process ended by itself; start those that did."""
        for instance in self._testbed.instances:
            status = instance.unexpected_status
            if status is None:
                continue
            started = 'after' if instance.has_started else 'before'
            self.add_violation(
                'ended', f'{instance.name}: {status}, {started} its start'
            )
            instance.start()

    def check_health(self):
        """Check the errors in the logs, and the memory, of the instances."""
        for instance in self._testbed.instances:
            for line in instance.read_errors():
                self.add_violation('error', f'{instance.name}: {line[:200]}')
            if instance.peak_memory_mb > self.max_memory_mb:
                self.add_violation(
                    'memory', f'{instance.name}: {instance.peak_memory_mb} MB'
                )

    def finish(self):
        """Check the invariants that concern the whole run."""
        self._check_at_most_once()
        self._check_drained()
        found = self._testbed.workspaces.find_violations(
            self.outcomes, self.runs
        )
        for rule, text in found:
            self.add_violation(rule, text)
        self._check_recovered()

    def _check_key(self, outcome):
        """Check the status of a call by its key."""
        if outcome.key == workspaces.UNKNOWN_KEY:
            if outcome.status not in (0, 401, 408, 503):
                self.add_violation(
                    'key', f'{outcome.id}: {outcome.status}, unknown key'
                )
            return
        is_valid = self._testbed.workspaces.is_valid(
            outcome, SETTLE_TIME_S
        ) and self._has_settled(outcome.sent_at)
        if outcome.status == 401 and is_valid:
            self.add_violation('key', f'{outcome.id}: 401, valid key')
        is_limited = outcome.key == self._testbed.workspaces.limited_key
        if outcome.status == 429 and not is_limited:
            self.add_violation('quota', f'{outcome.id}: 429, no quota')

    def _has_settled(self, at):
        """Return whether the last unplanned fault ended long before."""
        return at - self._testbed.last_fault_end(at) > SETTLE_TIME_S

    def _check_lost(self, outcome):
        if outcome.is_unlisted:
            return
        last_fault_end = self._testbed.last_fault_end(outcome.ended_at)
        if outcome.sent_at - last_fault_end > SETTLE_TIME_S:
            self.add_violation('lost', f'{outcome.id}: {outcome.reason}')

    def _check_at_most_once(self):
        run_counts = collections.Counter(
            r.request_id for r in self.runs if r.path.startswith('/once/')
        )
        for id_, count in run_counts.items():
            if count > 1:
                self.add_violation('twice', f'{id_} ran {count} times')
        for outcome in self.outcomes:
            if outcome.kind == 'once' and outcome.status in NOT_RUN_STATUSES:
                if run_counts[outcome.id]:
                    self.add_violation(
                        'refused', f'{outcome.id}: {outcome.status}, ran'
                    )

    def _check_drained(self):
        for run in self.runs:
            left_at = self.left_at.get(run.backend)
            if left_at is None or run.at <= left_at + DRAIN_TIMEOUT_S:
                continue
            if (
                run.at - self._testbed.last_fault_end(run.at)
                > SETTLE_TIME_S + DRAIN_TIMEOUT_S
            ):
                self.add_violation(
                    'drain', f'{run.backend} ran {run.request_id}'
                )

    def _check_recovered(self):
        since = self._testbed.recovered_at
        valid = set(self._testbed.workspaces.keys.values())
        # Only the workspace with a quota may get 429, see ``_check_key``.
        outcomes = [
            o
            for o in self.outcomes
            if o.sent_at > since and o.key in valid and o.status != 429
        ]
        served = sum(o.status == 200 for o in outcomes)
        if served < MIN_RECOVERED_RATIO * len(outcomes) or not outcomes:
            self.add_violation(
                'recover', f'{served} of {len(outcomes)} served at the end'
            )
