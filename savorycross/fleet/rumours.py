"""Changes that an instance passes on a limited number of times."""

# Number of heartbeats that carry a change. Each receiver passes it on as
# often, which misses a part of e^-12 of all instances; with 8, some instance
# of 300 missed one change in ten.
REPEATS = 12


class RumourQueue:
    """Holds the ids of changed instances, the newest changes first."""

    def __init__(self):
        self._repeats_left = {}

    def add(self, id_):
        """Pass on the status of an instance, anew if it is queued."""
        self._repeats_left[id_] = REPEATS

    def discard(self, id_):
        """Stop passing on the status of an instance."""
        self._repeats_left.pop(id_, None)

    def take(self, limit):
        """Return ids for one heartbeat; those sent least often come first.

        :param limit: number of ids that are returned at most.
        """
        left = self._repeats_left
        chosen = sorted(left, key=left.get, reverse=True)[:limit]
        for id_ in chosen:
            left[id_] -= 1
            if not left[id_]:
                del left[id_]
        return chosen
