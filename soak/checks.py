"""The promises that are checked while faults come and go."""

import collections

import trio

from savorycross.merge import records
from standins import backend as backends

DRAIN_S = 3.0
# Time after a fault in which bounds do not hold yet.
SETTLE_S = 4.5
TOP = 5
MIN_COVERAGE = 0.75
NOT_RUN = (408, 421, 429, 503)
# Share of calls that must succeed at the end, when all faults are over.
RECOVERED_SHARE = 0.95


class Checks:
    """Collects what callers and backends see.

    :param world: World.
    """

    def __init__(self, world):
        self.violations = []
        self.outcomes = []
        self.runs = []
        self.left_at = {}
        self.sets = []
        self._world = world

    def fail(self, rule, text):
        """Note a violation."""
        self.violations.append((round(trio.current_time(), 2), rule, text))

    def take(self, outcome):
        """Take the outcome of a call."""
        self.outcomes.append(outcome)
        if outcome.status == 404:
            self.fail('denied', f'{outcome.id}: 404 of a declared route')
        was_cut = not outcome.status and 'no reply' not in outcome.reason
        if was_cut and 'connect' not in outcome.reason:
            self._check_cut(outcome)

    def check_gather(self, id_, reply):
        """Check a merged answer against what backends answer."""
        parts = [
            p.strip()
            for p in (reply.header(b'parts') or b'').decode().split(',')
        ]
        missing = int(reply.header(b'missing-parts') or 0)
        named = [p.partition('.')[0] for p in parts]
        services = {b.partition('+')[0] for b in named}
        if len(services) != len(parts) or any(
            p.encode() != backends.sign(b, id_)
            for p, b in zip(parts, named, strict=True)
        ):
            self.fail('mixed', f'{id_}: parts {parts}')
            return
        fits = [s for s in self.sets if services <= set(s)]
        if not any(len(s) == len(services) + missing for s in fits):
            self.fail('mixed', f'{id_}: {services} and {missing} missing')
        if len(services) < MIN_COVERAGE * (len(services) + missing):
            self.fail('coverage', f'{id_}: {len(services)} parts')
        bodies = [backends.make_records(s, id_) for s in services]
        if reply.body != records.merge_records(bodies, TOP):
            self.fail('mixed', f'{id_}: records')

    def finish(self):
        """Check what shows only at the end."""
        self._check_once()
        self._check_drained()
        self._check_recovered()

    def _check_cut(self, outcome):
        calm_at = self._world.calm_since(outcome.ended_at)
        if outcome.sent_at - calm_at > SETTLE_S:
            self.fail('lost', f'{outcome.id}: {outcome.reason}')

    def _check_once(self):
        runs = collections.Counter(
            r.request_id for r in self.runs if r.path.startswith('/once/')
        )
        for id_, n in runs.items():
            if n > 1:
                self.fail('twice', f'{id_} ran {n} times')
        for found in self.outcomes:
            if found.kind == 'once' and found.status in NOT_RUN:
                if runs[found.id]:
                    self.fail('refused', f'{found.id}: {found.status}, ran')

    def _check_drained(self):
        for run in self.runs:
            left_at = self.left_at.get(run.backend)
            if left_at is None or run.at <= left_at + DRAIN_S:
                continue
            if run.at - self._world.calm_since(run.at) > SETTLE_S + DRAIN_S:
                self.fail('drain', f'{run.backend} ran {run.request_id}')

    def _check_recovered(self):
        since = self._world.recovered_at
        late = [o for o in self.outcomes if o.sent_at > since]
        served = sum(o.status == 200 for o in late)
        if served < RECOVERED_SHARE * len(late) or not late:
            self.fail('recover', f'{served} of {len(late)} served at the end')
