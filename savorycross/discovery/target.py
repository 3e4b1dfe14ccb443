"""A target as its entry describes it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of a target.

    :param address: host and port.
    :param slots: requests that it handles at once.
    :param born: start of the incarnation, in any unit; 0 if not said.
    :param warmup_s: seconds for which it stays slow from now on.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool = False
    born: int = 0
    warmup_s: float = 0.0
