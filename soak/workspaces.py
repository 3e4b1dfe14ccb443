"""The workspaces of a soak run, their keys and the checks of them."""

import collections
import itertools

import trio

# Times that the settings in ``process`` state, in seconds.
REVOCATION_S = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 5
# Requests a second, and the burst, of the workspace with a quota. Its callers
# send several times that.
RATE_PER_S = 4
BURST = 4
# Key that no workspace has.
UNKNOWN_KEY = 'key-unknown'
CHANGED = 'changed'
LIMITED = 'limited'
STEADY = 'steady'
# Workspaces of the callers in turn.
NAMES = (STEADY, LIMITED, CHANGED, STEADY)


class Workspaces:
    """The keys of workspaces, of which one is replaced now and then.

    ``keys`` holds the key of each workspace by its name.
    """

    def __init__(self):
        self.keys = {name: f'key-{name}-0' for name in set(NAMES)}
        self._numbers = itertools.count(1)
        self._removed_at = {}
        self._added_at = {}

    @property
    def limited_key(self):
        """The key of the workspace with a quota."""
        return self.keys[LIMITED]

    def replace_key(self):
        """Replace the key of one workspace.

        It is to be written to the store at once.
        """
        now = trio.current_time()
        self._removed_at[self.keys[CHANGED]] = now
        self.keys[CHANGED] = f'key-{CHANGED}-{next(self._numbers)}'
        self._added_at[self.keys[CHANGED]] = now

    def note_restore(self):
        """Note that a restored store has the removals only from now on."""
        now = trio.current_time()
        self._removed_at = dict.fromkeys(self._removed_at, now)

    def choose_key(self, name, rng):
        """Return the key for a call of a caller, at times a wrong one.

        :param name: name of the caller's workspace.
        :param rng: random.Random.
        """
        if rng.random() < 0.02:
            return UNKNOWN_KEY
        if name == CHANGED and self._removed_at and rng.random() < 0.5:
            return rng.choice(list(self._removed_at)[-3:])
        return self.keys[name]

    def describe(self):
        """Return the workspaces as the platform's configuration has them."""
        described = [
            {'name': name, 'api_keys': [key]}
            for name, key in sorted(self.keys.items())
        ]
        for document in described:
            if document['name'] == LIMITED:
                document |= {'rate_per_s': RATE_PER_S, 'burst': BURST}
        return described

    def is_valid(self, outcome, settle_s):
        """Return whether the key of a call has been valid for some time."""
        added_at = self._added_at.get(outcome.key, -settle_s)
        is_current = outcome.key in self.keys.values()
        return is_current and outcome.sent_at - added_at > settle_s

    def find_violations(self, outcomes, runs):
        """Return pairs of a rule and a text for what must not have run.

        :param outcomes: Outcomes of calls with keys.
        :param runs: Runs of backends.
        """
        ran = {run.request_id for run in runs}
        found = []
        for outcome in outcomes:
            removed_at = self._removed_at.get(outcome.key, float('inf'))
            is_revoked = outcome.sent_at > removed_at + REVOCATION_S
            if outcome.id in ran and (
                is_revoked or outcome.key == UNKNOWN_KEY
            ):
                found.append(('revoked', f'{outcome.id}: ran'))
        limited = self.limited_key
        times = sorted(
            o.sent_at for o in outcomes if o.key == limited and o.id in ran
        )
        most = count_in_window(times, QUOTA_WINDOW_S)
        allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERAGE)
        if most > allowed + QUOTA_SLACK:
            found.append(('quota', f'{most} ran, {allowed + QUOTA_SLACK} may'))
        return found


def count_in_window(times, window_s):
    """Return the most of some sorted times in any window.

    >>> count_in_window([0.0, 1.0, 5.5, 5.8], 5.0)
    3
    """
    window = collections.deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] < at - window_s:
            window.popleft()
        most = max(most, len(window))
    return most
