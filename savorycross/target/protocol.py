"""The interface through which a relay reaches targets."""

import typing

from savorycross.relay import job


class TargetClient(typing.Protocol):
    """A client that sends attempts to targets and polls their inventories.

    Each attempt ends in exactly one call of ``on_result`` with its id and a
    job.AttemptResult; each inventory that a target reports is passed to
    ``on_inventory``. Requests that are not attempts are counted with
    ``Relay.count_request``, and no more often than its ``check_interval_s``.
    """

    async def send(self, action: job.Send) -> None:
        """Send a job, or report at once that it was not sent."""

    async def cancel(self, action: job.Cancel) -> None:
        """Tell the target that an attempt is no longer needed."""

    def reconcile(self, targets) -> None:
        """Poll exactly these declared targets and disconnect from others."""
