"""Tells what a configuration changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One entry that differs between two configurations.

    :param place: the entry, such as ``route 'search'``.
    :param change: ``added``, ``removed``, or the fields that differ with
        their old and new values.
    """

    place: str
    change: str


def compare(old, new):
    """Return the Changes from one Configuration to another.

    :param old: Configuration in force.
    :param new: Configuration that is to replace it.
    """
    changes = _compare_entries(
        'route',
        {r.name: r for r in old.routes},
        {r.name: r for r in new.routes},
    )
    changes += _compare_entries('service', old.services, new.services)
    changes += _compare_entries('limits', {'': old.limits}, {'': new.limits})
    changes += _compare_entries(
        'workspace',
        {w.name: w for w in old.workspaces.workspaces},
        {w.name: w for w in new.workspaces.workspaces},
    )
    return changes + _compare_keys(old.workspaces, new.workspaces)


def _compare_entries(kind, old, new):
    changes = []
    for name in [*old, *(n for n in new if n not in old)]:
        place = f'{kind} {name!r}' if name else kind
        if name not in new:
            changes.append(Change(place, 'removed'))
        elif name not in old:
            changes.append(Change(place, 'added'))
        elif old[name] != new[name]:
            text = _describe_fields(old[name], new[name])
            changes.append(Change(place, text))
    return changes


def _describe_fields(old, new):
    texts = []
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            texts.append(f'{field.name}: {before!r} -> {after!r}')
    return '; '.join(texts)


def _compare_keys(old, new):
    """Return the Changes of keys, which tell their number only."""
    names = {w.name: None for w in (*old.workspaces, *new.workspaces)}
    changes = []
    for name in names:
        before, after = old.digests(name), new.digests(name)
        if before == after:
            continue
        text = (
            f'{len(after - before)} keys added, '
            f'{len(before - after)} withdrawn'
        )
        changes.append(Change(f'workspace {name!r}', text))
    return changes
