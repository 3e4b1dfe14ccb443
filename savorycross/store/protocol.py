"""The interface of the platform's key-value service."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A stored value and its revision.

    :param revision: increases with each write of the key; 0 if the key is
        absent.
    """

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's list of instances, which lags behind.

    :param host: host that the instance listens on.
    :param leaving: whether the instance is about to stop.
    """

    name: str
    host: str
    http_port: int
    peer_port: int
    leaving: bool = False


ABSENT = Entry(value=b'', revision=0)


class Store(typing.Protocol):
    """A key-value service with compare-and-swap, expiry and watches.

    All methods raise StoreUnavailableError if no reply arrives or its status
    is unexpected; a write may nevertheless have taken effect.

    ``era`` is the number of the store's era in the latest reply, 0 before the
    first. It rises when the store was restored from an older copy.
    """

    era: int

    async def get(self, key: str) -> Entry:
        """Return the Entry of a key, or ABSENT."""

    async def put(
        self, key: str, value: bytes, revision: int, ttl: float = 0
    ) -> Entry:
        """Write a value if the key has the expected revision.

        :param revision: the expected revision; 0 if the key must be absent.
        :param ttl: seconds until the key expires; 0 for no expiry.
        :returns: the Entry that was written.
        :raises StoreConflictError: if the key has another revision.
        """

    async def watch(self, key: str, revision: int, timeout: float) -> Entry:
        """Wait until the revision of a key differs, and return its Entry.

        :param revision: the last revision seen.
        :param timeout: seconds after which the Entry is returned even if it
            is unchanged.
        """

    async def instances(self) -> list[ListedInstance]:
        """Return the platform's list of live instances, which lags behind."""

    async def targets_leaving(self) -> frozenset[str]:
        """Return the names of targets that the platform lists as leaving."""
