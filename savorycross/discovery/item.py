"""Items of the store, and how they are read."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store and its value.

    :param revision: the store's revision at its last write.
    :param removed: whether the key was removed at that revision.
    """

    key: str
    revision: int
    value: bytes = b''
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Items in the order of their keys.

    :param revision: the store's revision when the page was read.
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool = False


class ItemStore(typing.Protocol):
    """The calls of the store that instances make.

    All raise StoreUnavailableError if no answer arrives.
    """

    async def read_page(self, after: str) -> Page:
        """Return the items whose keys follow a key."""

    async def watch(self, revision: int, wait_s: float) -> Page:
        """Return what changed after a revision, or nothing in time.

        :raises HistoryGoneError: if the store does not know any more.
        """

    async def open_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEndedError: if it has ended.
        """

    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys are removed."""

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that lives as long as a lease.

        :raises LeaseEndedError: if the lease has ended.
        """
