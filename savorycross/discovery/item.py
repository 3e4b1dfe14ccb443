"""Items of the store, and the calls that read and write them."""

import dataclasses
import enum
import typing


class Revision(typing.NamedTuple):
    """Is a position in the store's history; later ones are greater.

    A store that is restored from an older copy begins a new era, in which it
    gives numbers out again. Positions in different eras are ordered by era.

    >>> Revision(2, 5) > Revision(1, 9)
    True

    :param era: number of the era; 0 if the store does not tell.
    :param number: number of the change.
    """

    era: int
    number: int


NO_REVISION = Revision(0, 0)


class Source(enum.Enum):
    """How an item was read; the values appear in log lines."""

    LISTING = 'listing'
    WATCH = 'watch'
    CONFIRMATION = 'confirmation'
    PEER = 'peer'


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Holds a key of the store with its value, or its removal.

    :param revision: the Revision of the key's last change, in the era in
        which the item was read.
    :param removed: whether this change removed the key.
    :param source: Source of the item, or None if it was not noted.
    """

    key: str
    revision: Revision
    value: bytes = b''
    removed: bool = False
    source: Source | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Holds items in the order of their keys.

    :param revision: the store's Revision when the page was read.
    :param has_more: whether further items follow in the store.
    """

    items: tuple[Item, ...]
    revision: Revision
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Names a lease.

    :param era: era of the store in which it was opened; another one may
        know nothing of it, or give its id to another instance.
    """

    id: int
    era: int


class ItemStore(typing.Protocol):
    """The calls to the store that instances make.

    All raise StoreUnavailableError if no valid answer arrives in time.
    ``connection_count`` is the number of open connections to the store.
    """

    connection_count: int

    async def read_page(self, after: str) -> Page:
        """Return the first items whose keys sort after a key."""

    async def watch(self, revision: Revision, wait_s: float) -> Page:
        """Return the changes after a revision, waiting for the first.

        A page of another era holds no changes since the revision, as its
        number belongs to another history there.

        :param wait_s: seconds after which the page is empty.
        :raises HistoryGoneError: if the store has dropped these changes.
        """

    async def read_key(self, key: str) -> Page:
        """Return a key as it is now, and others that begin with it."""

    async def read_changes(self, key: str, revision: Revision) -> Page:
        """Return the changes of a key after a revision, at once.

        Those of other keys may be among them. The answer shows all that the
        store acknowledged before the call. A page of another era holds no
        changes since the revision.

        :raises HistoryGoneError: if the store has dropped these changes.
        """

    async def open_lease(self, ttl_s: float) -> Lease:
        """Return a new Lease that ends after ``ttl_s`` seconds."""

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease for another time to live.

        :raises LeaseEndedError: if it has ended, or its era has.
        """

    async def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes its keys."""

    async def compare_and_put(
        self, values: dict[str, bytes], revisions: dict[str, Revision]
    ) -> bool:
        """Write keys unless one has changed; return whether they were.

        :param revisions: expected Revision by key; NO_REVISION for a key
            that must not exist.
        """

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        """Write a key that lives as long as a lease.

        :raises LeaseEndedError: if the lease has ended, or its era has.
        """
