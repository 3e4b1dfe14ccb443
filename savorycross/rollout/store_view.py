"""What the store says about roll-outs, and what is written there."""

import dataclasses
import typing

from savorycross.discovery import item as items
from savorycross.rollout import order as orders


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A changed order or record of a service.

    :param value: RolloutOrder or RolloutRecord; None if it was removed.
    :param is_live: whether it was changed just now, as opposed to listed.
    """

    service: str
    is_order: bool
    value: typing.Any
    is_live: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A compare-and-swap of the status and record of a service.

    :param record: RolloutRecord.
    :param values: bytes by key.
    :param revisions: Revision by key on which the decision is based.
    """

    record: orders.RolloutRecord
    values: dict[str, bytes]
    revisions: dict[str, items.Revision]


class StoreView:
    """Reads the items of roll-outs from the mirror of the store.

    A store that is restored from an older copy may have lost orders and
    records. An order that was lost is not withdrawn, and records are written
    again.

    :param keys: module that knows the keys and values; see
        ``platform.rollout_keys``.
    :param mirror: Mirror.
    :param is_connected: callable that returns whether the store answers.
    :param log: EventLog.
    """

    def __init__(self, keys, mirror, is_connected, log):
        self.is_connected = is_connected
        self._keys = keys
        self._mirror = mirror
        self._log = log
        self._era = 0
        self._restored_at = items.NO_REVISION
        self._order_eras = {}

    @property
    def is_complete(self):
        """Whether the whole store has been listed."""
        return self._mirror.is_complete

    def read(self, key, item):
        """Return the Change that an item makes, or None.

        :param item: new Item, or None if the key was removed.
        """
        keys = self._keys
        is_live = self._mirror.is_complete
        service = keys.ordered_service(key)
        try:
            if service is not None:
                if item is None:
                    return self._read_removal(service)
                self._order_eras[service] = item.revision.era
                order = keys.decode_order(key, item.value)
                return Change(service, True, order, is_live)
            service = keys.recorded_service(key)
            if service is None or item is None:
                return None
            record = keys.decode_record(key, item.value)
        except ValueError as exc:
            self._log.event('rollout.invalid', key=key[:80], reason=str(exc))
            return None
        return Change(service, False, record, is_live)

    def _read_removal(self, service):
        era = self._order_eras.get(service, 0)
        if era < self._mirror.revision.era:
            self._log.event('rollout.order_lost', service=service)
            return None
        return Change(service, True, None, True)

    def note_era(self):
        """Note whether the store was restored; called regularly."""
        revision = self._mirror.revision
        for service in self._order_eras:
            item = self._mirror.items.get(self._keys.order_key(service))
            if item is not None:
                self._order_eras[service] = item.revision.era
        if 0 < self._era < revision.era:
            self._restored_at = revision
        self._era = revision.era

    def lacks(self, record):
        """Return whether the store may not hold a record and its status."""
        service = record.order.service
        held = self._mirror.items.get(self._keys.record_key(service))
        status = self._mirror.items.get(self._keys.status_key(service))
        if held is None or status is None:
            return True
        if min(held.revision, status.revision) <= self._restored_at:
            return True
        try:
            known = self._keys.decode_record(held.key, held.value)
            shown = self._keys.decode_status(status.value)
            return known.rank < record.rank or shown != record.status
        except ValueError:
            return True

    def make_write(self, record):
        """Return the Write of a record and its status.

        A restored store gives the numbers of revisions out again, so that a
        record may have the number of a former one. The mark of the end of a
        run cannot be confused, as it exists or not.
        """
        service = record.order.service
        values = {
            self._keys.record_key(service): self._keys.encode_record(record),
            self._keys.status_key(service): self._keys.encode_status(
                record.status
            ),
        }
        revisions = {key: self._find_revision(key) for key in values}
        end_key = self._keys.end_key(service, record.run)
        revisions[end_key] = self._find_revision(end_key)
        if record.state.is_final and end_key not in self._mirror.items:
            values[end_key] = record.state.value.encode()
        return Write(record, values, revisions)

    def _find_revision(self, key):
        item = self._mirror.items.get(key)
        return items.NO_REVISION if item is None else item.revision
