"""Declaration of a data centre."""

import dataclasses

from savorycross.catalogue import state


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre.

    :param schedule: its scheduled availability, which also limits that of
        its targets.
    """

    name: str
    schedule: state.Schedule = state.Schedule()
