"""Targets, as their entries in the store describe them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Describes one incarnation of a target.

    :param service: name of the service that the target belongs to.
    :param address: host and port.
    :param slots: number of requests that it handles at once.
    :param is_draining: whether it gets no new requests.
    :param born: start of the incarnation, in any unit; 0 if unknown.
    :param warmup_s: seconds for which it stays slow from now on.
    :param version: version of its software; empty if unknown.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    is_draining: bool = False
    born: int = 0
    warmup_s: float = 0.0
    version: str = ''
