"""Merging of the shard results of a query."""

import msgspec

from savorycross import decoding
from savorycross.merge import coverage


class Record(msgspec.Struct, frozen=True):
    """A record as targets return it.

    :param id: identity of the record, the same for copies on several shards.
    :param fields: raw JSON values by field name.
    """

    id: str
    fields: dict[str, msgspec.Raw] = {}


_decoder = msgspec.json.Decoder(list[Record])


class Merger:
    """Merges the results of the shards of one snapshot, each shard once.

    A shard is open until it has answered or is marked as missed.

    :param shard_groups: iterable of groups of shard keys to be asked.
    :param missed: cause by shard key, for shards that cannot be asked.
    """

    def __init__(self, shard_groups, missed):
        self._open_shards = {
            shard for group in shard_groups for shard in group
        }
        self._asked = len(self._open_shards) + len(missed)
        self._cause_by_missed_shard = dict(missed)
        self._record_by_id = {}
        self._answered = 0

    @property
    def is_complete(self):
        """Whether every shard has answered or is marked as missed."""
        return not self._open_shards

    @property
    def ratio(self):
        """Ratio of answered shards to all shards of the query; 0 if none."""
        return self._answered / self._asked if self._asked else 0.0

    def is_open(self, shard):
        """Return whether a shard is neither answered nor marked as missed."""
        return shard in self._open_shards

    def add(self, shard, body):
        """Merge the records of a shard.

        A second result of the same shard is ignored.

        :param shard: shard key.
        :param body: JSON array of records, as bytes.
        :returns: False if the records are invalid.
        """
        if shard not in self._open_shards:
            return True
        try:
            records = decoding.decode(_decoder, body)
        except ValueError:
            return False
        for record in records:
            self._record_by_id.setdefault(record.id, record)
        self._open_shards.discard(shard)
        self._answered += 1
        return True

    def mark_missed(self, shard, cause):
        """Mark an open shard as missed.

        :param cause: reason, as text.
        """
        if shard in self._open_shards:
            self._open_shards.discard(shard)
            self._cause_by_missed_shard[shard] = cause

    def mark_rest_missed(self, cause):
        """Mark all open shards as missed.

        :param cause: reason, as text.
        """
        for shard in list(self._open_shards):
            self.mark_missed(shard, cause)

    def coverage(self):
        """Return the current Coverage; open shards count as missed."""
        missed = {
            **self._cause_by_missed_shard,
            **dict.fromkeys(self._open_shards, 'deadline'),
        }
        return coverage.Coverage(
            asked=self._asked,
            answered=self._answered,
            missed=tuple(
                coverage.Missed(shard, cause)
                for shard, cause in sorted(missed.items())
            ),
        )

    def records(self, limit):
        """Return the merged records, sorted by id.

        :param limit: largest number of records; None for all.
        """
        ids = sorted(self._record_by_id)
        return [self._record_by_id[i] for i in ids[:limit]]
