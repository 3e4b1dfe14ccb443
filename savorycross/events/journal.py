"""A bounded in-memory record of events on one instance."""

import collections
import dataclasses

CAPACITY = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One recorded event.

    :param stamp: stamp of the hybrid logical clock.
    :param instance: name of the instance that recorded it.
    :param kind: dotted name such as ``query.planned``.
    :param subject: id of the request, version or target that the event is
        about.
    :param fields: further values by name, as text.
    """

    stamp: int
    instance: str
    kind: str
    subject: str
    fields: dict[str, str]


class Journal:
    """A ring buffer of the latest events of one instance.

    :param clock: a HybridClock.
    :param instance: name of the instance, put into each event.
    :param capacity: number of events that are kept.
    """

    def __init__(self, clock, instance, capacity=CAPACITY):
        self.clock = clock
        self._instance = instance
        self._events = collections.deque(maxlen=capacity)

    def record(self, kind, subject='', **fields):
        """Record an event and return its stamp.

        :param kind: dotted name such as ``query.planned``.
        :param subject: id of the request, version or target that the event
            is about.
        """
        stamp = self.clock.tick()
        self._events.append((stamp, kind, subject, fields))
        return stamp

    def select(self, subject=None, since=0):
        """Return recorded events, oldest first.

        :param subject: only events about this subject; None for all.
        :param since: only events with a larger stamp.
        """
        selected = []
        for stamp, kind, event_subject, fields in reversed(self._events):
            if stamp <= since:
                break
            if subject is not None and event_subject != subject:
                continue
            texts = {k: str(v) for k, v in fields.items()}
            selected.append(
                Event(stamp, self._instance, kind, event_subject, texts)
            )
        return selected[::-1]


def merge_journals(*selections):
    """Return the events of several instances in causal order.

    :param selections: a list of Events for each instance.

    >>> a = Event(2, 'a', 'x', '', {})
    >>> b = Event(1, 'b', 'y', '', {})
    >>> [e.kind for e in merge_journals([a], [b])]
    ['y', 'x']
    """
    events = [event for selection in selections for event in selection]
    return sorted(events, key=lambda e: (e.stamp, e.instance))
