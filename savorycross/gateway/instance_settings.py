"""Where an instance runs and what binds it."""

import dataclasses

# Time for which callers keep the entry answer. Short, so that they soon
# miss an instance that ended.
ENTRY_TTL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraSendLimits:
    """Bound on sends beyond the first, over all instances.

    :param ratio: extra sends by requests in any window.
    :param slack: extra sends on top, in any window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSendLimits:
    """Bound on sends to a cold target in any second, over all instances.

    :param overage: multiple of the rate that the target bears.
    :param slack: requests on top.
    """

    overage: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of an instance that follows an operators' store.

    :param directory_address: where callers ask which instances to use.
    :param peer_address: UDP and TCP address for other instances.
    :param seeds: peer addresses of other instances, maybe stale.
    :param is_first_start: whether the whole system starts anew.
    :param grace_s: seconds from the stop signal to the end.
    :param recovery_s: seconds after an outage from which bounds hold again.
    :param apply_s: seconds in which a configuration must be in force.
    :param drain_s: seconds after which a leaving target gets nothing.
    :param evacuate_s: seconds after which a data centre gets nothing that
        was taken out.
    :param max_directory_ttl_s: longest time to live of the directory answer in
        seconds.
    """

    name: str
    data_centre: str
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    directory_address: tuple[str, int]
    peer_address: tuple[str, int]
    metrics_address: tuple[str, int]
    store_address: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    is_first_start: bool
    grace_s: float
    recovery_s: float
    apply_s: float
    drain_s: float
    evacuate_s: float
    max_directory_ttl_s: float
    extra_send_limits: ExtraSendLimits
    cold_send_limits: ColdSendLimits

    @property
    def change_deadline_s(self):
        """Seconds in which any change must be in force."""
        return min(self.apply_s, self.drain_s, self.evacuate_s)

    @property
    def entry_ttl_s(self):
        """Seconds for which callers are to keep the entry answer."""
        return min(ENTRY_TTL_S, self.max_directory_ttl_s)
