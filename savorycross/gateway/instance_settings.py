"""Settings of an instance that follows an operators' store."""

import dataclasses

# Time for which callers keep the directory answer. It is short so that they
# soon stop to use an instance that has ended.
DIRECTORY_TTL_S = 1.0
# Assumed if the platform does not tell it.
MEMORY_BYTES = 256_000_000
# Seconds of latency that a byte to another data centre is worth. It occupies
# a link of 7 Mbit/s, the slowest that operators declare, for 1.14 us.
LINK_BYTE_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraSendLimits:
    """Bound on retries and hedges to one service, over all instances.

    :param ratio: extra sends for each request in any window.
    :param slack: extra sends in any window that are allowed on top.
    :param window_s: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSendLimits:
    """Bound on sends to a cold target in any second, over all instances.

    :param overage: allowed sends as a multiple of the rate that the service
        declares for its cold targets.
    :param slack: sends that are allowed on top.
    """

    overage: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Bound on the requests of a workspace in any window, over all instances.

    :param window_s: length of the sliding window in seconds.
    :param overage: part of the quota by which it may be exceeded.
    :param slack: requests by which it may be exceeded on top.
    """

    window_s: float
    overage: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Bound on the requests that a bad version of a service gets.

    :param share: part of all requests that reach the service.
    :param slack: requests on top.
    :param revert_s: seconds from its 50th bad answer until it gets none.
    """

    share: float = 0.1
    slack: float = 50.0
    revert_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class MachineCapacity:
    """What the machine of an instance has; 0 where it is not known.

    :param cores: processor in cores, with fractions.
    :param memory_bytes: memory above which the machine ends the process.
    :param descriptors: files and sockets that the process may open.
    :param link_bytes_per_s: bytes a second over the network, one way.
    """

    cores: float = 0.0
    memory_bytes: int = 0
    descriptors: int = 0
    link_bytes_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Addresses, limits and time bounds of one instance.

    Addresses are pairs of a host and a port.

    :param ready_address: where the platform asks whether the instance is
        ready.
    :param directory_address: where callers ask which instances to use.
    :param peer_address: UDP and TCP address for other instances.
    :param rate_address: UDP address for messages of other instances about
        the rates that targets state; its port is the same on all instances.
    :param seeds: peer addresses of other instances, some of which may be
        stale.
    :param is_first_start: whether the whole system starts for the first
        time, so that this process replaces no other.
    :param grace_s: seconds from the stop signal to the end of the process.
    :param recovery_s: seconds after an outage from which on the time bounds
        below apply again.
    :param apply_s: seconds within which a configuration must be in force.
    :param drain_s: seconds after which a draining target gets no requests.
    :param evacuate_s: seconds after which the targets of an evacuated data
        centre get no requests.
    :param max_directory_ttl_s: upper bound in seconds on the time for which
        callers keep the directory answer.
    :param extra_send_limits: limits of retries and hedges.
    :param cold_send_limits: limits of sends to cold targets.
    :param memory_bytes: memory above which the machine ends the process.
    :param capacity: MachineCapacity.
    :param link_byte_s: seconds of latency that a byte to another data centre
        is worth.
    :param revocation_s: seconds after which a withdrawn key no longer works
        anywhere, or None if there is no such bound.
    :param quota_limits: QuotaLimits, or None if there is no such bound.
    :param rollout_limits: RolloutLimits, or None if there is no such bound.
    """

    name: str
    data_centre: str
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    directory_address: tuple[str, int]
    peer_address: tuple[str, int]
    rate_address: tuple[str, int]
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
    memory_bytes: int = MEMORY_BYTES
    capacity: MachineCapacity = MachineCapacity()
    link_byte_s: float = LINK_BYTE_S
    revocation_s: float | None = None
    quota_limits: QuotaLimits | None = None
    rollout_limits: RolloutLimits | None = None

    @property
    def change_deadline_s(self):
        """Seconds within which any change must be in force."""
        return min(self.apply_s, self.drain_s, self.evacuate_s)

    @property
    def directory_ttl_s(self):
        """Seconds for which callers keep the directory answer."""
        return min(DIRECTORY_TTL_S, self.max_directory_ttl_s)
