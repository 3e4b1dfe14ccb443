"""Differences between two catalogues."""

import dataclasses

MAX_CLOSED_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An item that is added or removed, or a field of one that has changed.

    :param kind: kind of the item, as in the sheet's ``kind`` column.
    :param name: name of the item.
    :param field: name of the changed field; empty if the item is added or
        removed.
    :param before: former value, or ``removed``.
    :param after: new value, or ``added``.

    >>> str(Change('target', 'a', 'slots', '2', '6'))
    'target a: slots 2 -> 6'
    """

    kind: str
    name: str
    field: str = ''
    before: str = ''
    after: str = ''

    def __str__(self):
        """Return a description in one line."""
        if not self.field:
            return f'{self.kind} {self.name}: {self.after or self.before}'
        return (
            f'{self.kind} {self.name}: '
            f'{self.field} {self.before} -> {self.after}'
        )


def diff(before, after):
    """Return the changes from one catalogue to another.

    :returns: list of Change, by kind and then by name.
    """
    pairs = (
        ('data_centre', before.data_centres, after.data_centres),
        ('service', before.services, after.services),
        ('target', before.targets, after.targets),
        ('workload', before.workloads, after.workloads),
    )
    return [c for kind, old, new in pairs for c in _diff_items(kind, old, new)]


def _diff_items(kind, old, new):
    before = {i.name: i for i in old}
    after = {i.name: i for i in new}
    for name in sorted(before.keys() - after.keys()):
        yield Change(kind, name, before='removed')
    for name in sorted(after.keys() - before.keys()):
        yield Change(kind, name, after='added')
    for name in sorted(before.keys() & after.keys()):
        yield from _diff_fields(kind, before[name], after[name])


def _diff_fields(kind, old, new):
    if old == new:
        return
    for field in dataclasses.fields(old):
        old_value = getattr(old, field.name)
        new_value = getattr(new, field.name)
        if old_value != new_value:
            yield Change(
                kind, old.name, field.name, str(old_value), str(new_value)
            )


def closes_most_targets(before, after, wall_time):
    """Return whether most of the open targets would no longer be open.

    :param before: Catalogue in force.
    :param after: Catalogue that would replace it.
    :param wall_time: time in seconds since the epoch at which the states
        are compared.
    """
    open_before = _open_targets(before, wall_time)
    if not open_before:
        return False
    open_after = _open_targets(after, wall_time)
    closed = len(open_before - open_after)
    return closed > MAX_CLOSED_RATIO * len(open_before)


def _open_targets(catalogue, wall_time):
    return {
        t.name
        for t in catalogue.targets
        if catalogue.state_of(t.name, wall_time) == 'open'
    }
