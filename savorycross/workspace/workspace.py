"""A group of callers that share keys, urgency and a quota."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers, as the operators declare it.

    :param name: unique name.
    :param priority: urgency of its requests, which goes before that of the
        route; 0 is the most urgent.
    :param rate_per_s: requests a second that it may make over all instances;
        0 if there is no limit.
    :param burst: requests that it may make at once on top.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self):
        """Whether the number of its requests is limited."""
        return self.rate_per_s > 0
