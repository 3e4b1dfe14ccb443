"""The list of instances that callers may use, with weights."""

import dataclasses

DEFAULT_KEEP_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """An instance that callers may use.

    :param address: host and HTTP port, as ``host:port``.
    :param weight: share of requests that the instance should get, from 0 to
        1.
    """

    address: str
    data_centre: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """All instances that callers may use.

    :param keep_s: seconds for which callers may cache the answer.
    """

    entries: tuple[EntryAddress, ...]
    keep_s: float


def list_entries(members, load_by_member, closed_data_centres, keep_s):
    """Return the Entries for the members in open data centres.

    The weight of a member is inversely proportional to one plus its load.

    :param members: live members that are not leaving.
    :param load_by_member: requests in progress by member name.
    :param closed_data_centres: names of data centres that are not open.
    :param keep_s: seconds for which callers may cache the answer.
    """

    usable = [m for m in members if m.data_centre not in closed_data_centres]
    weight_by_member = {
        m.name: 1.0 / (1.0 + load_by_member.get(m.name, 0.0)) for m in usable
    }
    total_weight = sum(weight_by_member.values()) or 1.0
    addresses = tuple(
        EntryAddress(
            address=f'{m.host}:{m.http_port}',
            data_centre=m.data_centre,
            weight=round(weight_by_member[m.name] / total_weight, 4),
        )
        for m in usable
    )
    return Entries(addresses, keep_s)
