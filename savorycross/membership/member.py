"""The identity and the addresses of an instance."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One process of an instance that takes part in the view.

    :param incarnation: number that rises with each start of the instance.
    """

    name: str
    data_centre: str
    host: str
    http_port: int
    peer_port: int
    incarnation: int


REFUTATION_BITS = 16


def make_incarnation(wall_time):
    """Return the incarnation of an instance that starts now.

    The lower ``REFUTATION_BITS`` are left for refutations, which raise the
    number while the process runs.

    :param wall_time: seconds since the epoch.
    """
    return int(wall_time * 1000) << REFUTATION_BITS


def is_same_process(first, second):
    """Return whether two incarnations belong to one process.

    >>> start = make_incarnation(5.0)
    >>> is_same_process(start, start + 1)
    True
    """
    return first >> REFUTATION_BITS == second >> REFUTATION_BITS
