"""Counts what each workspace asked of this instance, and what it got."""

import collections

# Workspaces with rows of their own on the metrics page, those with the most
# refusals; all others share one row.
MAX_ROWS = 50
# Labels that no workspace has: names are never empty, and parentheses tell
# them apart.
OTHERS = '(others)'
NO_WORKSPACE = '(none)'
REQUESTS = 'workspace_requests'
REFUSALS = 'workspace_refusals'
_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class WorkspaceCounts:
    """Requests by workspace and outcome, and refusals by reason."""

    def __init__(self):
        self._outcomes = collections.defaultdict(collections.Counter)
        self._refusals = collections.defaultdict(collections.Counter)

    def record(self, workspace, outcome, reason=''):
        """Count a request that has ended.

        :param workspace: Workspace, or None if it is not known.
        :param outcome: name of the outcome, such as ``answered``.
        :param reason: why the request was refused; the part before a colon
            is the cause.
        """
        name = NO_WORKSPACE if workspace is None else workspace.name
        self._outcomes[name][outcome] += 1
        if outcome == 'refused':
            cause = reason.partition(':')[0] or 'unknown'
            self._refusals[name][cause] += 1

    def retain(self, names):
        """Count workspaces that no longer exist together.

        :param names: names of those that exist.
        """
        kept = {*names, NO_WORKSPACE, OTHERS}
        for counts in (self._outcomes, self._refusals):
            for name in [n for n in counts if n not in kept]:
                counts[OTHERS].update(counts.pop(name))

    def set_gauges(self, metrics):
        """Replace the gauges of all rows.

        A workspace may get a row and lose it again, so that its counts move
        to and from those of the others.

        :param metrics: metrics.registry.Registry.
        """
        own = self._choose_rows()
        for gauge, label, counts in (
            (REQUESTS, 'outcome', self._outcomes),
            (REFUSALS, 'reason', self._refusals),
        ):
            metrics.drop_gauges(gauge)
            rows = collections.defaultdict(collections.Counter)
            for name, counter in counts.items():
                rows[name if name in own else OTHERS].update(counter)
            for name, counter in rows.items():
                workspace = name.translate(_ESCAPES)
                for value, count in counter.items():
                    labels = {'workspace': workspace, label: value}
                    metrics.set_gauge(gauge, count, **labels)

    def _choose_rows(self):
        """Return the names of the workspaces with rows of their own."""
        names = self._outcomes.keys() - {OTHERS, NO_WORKSPACE}
        ranked = sorted(
            names, key=lambda n: (-self._outcomes[n]['refused'], n)
        )
        return {*ranked[:MAX_ROWS], NO_WORKSPACE}
