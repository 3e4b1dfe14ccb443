"""Selects the instances that callers are to use.

Load pattern: hundreds of instances, each with a few requests a second. Each
then knows the load and speed of the targets from few sends of its own, and
its share of each limit is small. So in each data centre only as many
instances take callers as their load needs; the others stand by and replace
those that are lost.

Where machines differ, a slow one takes several times as long for a request,
however little it has to do. So instances on fast machines take the callers;
slow ones follow when the load needs them or the fast ones are lost.

Rendezvous hashing selects among equals, so that instances agree without
messages and a lost one changes nothing but its own place.
"""

import dataclasses

from savorycross.ownership import rendezvous

# Instances of a data centre that take callers, however small their load.
MIN_SELECTED = 3
# Load at which another instance is added, as a part of what it can do. The
# rest is left for callers of a data centre that is lost.
TARGET_LOAD = 0.35
# Instances with less than this part of the speed of the fastest one in their
# data centre are slow.
MIN_SPEED_PART = 0.5
# The number of instances falls only if the load allows it for this time.
SHRINK_AFTER_S = 15.0
# Longest time for which callers use an instance after the last list that
# names it.
OUTDATED_LIST_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that is ready for callers.

    :param load: part of the time in which it works, from 0 to 1.
    :param speed: part of a core that it can use, above 0.
    """

    name: str
    data_centre: str
    load: float
    speed: float = 1.0


@dataclasses.dataclass(slots=True)
class _Size:
    """The work that the instances selected in a data centre have to do.

    :param work: processor time in a second, in seconds.
    :param fits_since: runtime clock time from which on fewer instances would
        have sufficed, or None.
    """

    work: float = 0.0
    fits_since: float | None = None


class CallerSubset:
    """Selects instances in each data centre and remembers former ones.

    :param window_s: seconds for which the sends of an instance count.
    :param min_selected: instances of a data centre that are selected at
        least.
    """

    def __init__(self, window_s, min_selected=MIN_SELECTED):
        self._window_s = window_s
        self._min_selected = min_selected
        self._sizes = {}
        self._selected_at = {}
        self.selected = frozenset()

    def update(self, candidates, now):
        """Select among the candidates; the result is in ``selected``.

        :param candidates: Candidates of all data centres.
        :param now: runtime clock time in seconds.
        """
        by_data_centre = {}
        for candidate in candidates:
            by_data_centre.setdefault(candidate.data_centre, []).append(
                candidate
            )
        selected = set()
        for data_centre, members in by_data_centre.items():
            ranked = rank(data_centre, members)
            count = self._resize(data_centre, ranked, now)
            selected.update(c.name for c in ranked[:count])
        self.selected = frozenset(selected)
        self._selected_at.update(dict.fromkeys(selected, now))
        keep_s = OUTDATED_LIST_S + self._window_s
        self._selected_at = {
            name: at
            for name, at in self._selected_at.items()
            if now - at <= keep_s
        }

    def senders(self, own, now):
        """Return the names of instances whose sends count.

        Other instances count for as long as callers may use them and their
        sends count; this one counts for as long as callers may use it.

        :param own: name of this instance.
        """
        return frozenset(
            name
            for name, at in self._selected_at.items()
            if name != own or now - at <= OUTDATED_LIST_S
        )

    def _resize(self, data_centre, ranked, now):
        """Return the number of instances to select in a data centre.

        :param ranked: Candidates in the order in which they are selected.
        """
        size = self._sizes.setdefault(data_centre, _Size())
        work = sum(c.load * c.speed for c in ranked if c.name in self.selected)
        kept = self._count_needed(ranked, size.work)
        needed = self._count_needed(ranked, work)
        if needed >= kept:
            size.work = work
            size.fits_since = None
            return needed
        if size.fits_since is None:
            size.fits_since = now
        elif now - size.fits_since >= SHRINK_AFTER_S:
            size.work = work
            size.fits_since = None
            return needed
        return kept

    def _count_needed(self, ranked, work):
        """Return how many Candidates suffice for some work.

        :param work: processor time in a second, in seconds.
        """
        fastest = max(c.speed for c in ranked)
        fast = sum(not _is_slow(c, fastest) for c in ranked)
        room = 0.0
        count = 0
        while count < len(ranked) and room < work / TARGET_LOAD:
            room += ranked[count].speed
            count += 1
        return max(count, min(self._min_selected, fast))


def rank(data_centre, candidates):
    """Return the Candidates of a data centre, those to select first.

    The fast ones go before the slow ones, in the order of rendezvous hashing.

    >>> members = [Candidate(n, 'x', 0.0, 0.3) for n in 'abc']
    >>> members.append(Candidate('fast', 'x', 0.0, 1.0))
    >>> rank('x', members)[0].name
    'fast'
    """
    ranked = rendezvous.rank(data_centre, candidates)
    fastest = max((c.speed for c in ranked), default=0.0)
    return sorted(ranked, key=lambda c: _is_slow(c, fastest))


def _is_slow(candidate, fastest):
    return candidate.speed < MIN_SPEED_PART * fastest
