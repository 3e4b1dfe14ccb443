"""Messages between instances about roll-outs."""

import typing

import msgspec

from savorycross.rollout import losses
from savorycross.rollout import order as orders
from savorycross.rollout import sums as sums_module
from savorycross.wire import versioned

# Version of the message format; messages of other versions are dropped.
FORMAT = 3
# First byte of the datagrams, which no message about rates begins with.
MARK = b'R'
# Rows in one report, so that it fits a datagram.
MAX_ROWS = 24
MAX_COUNT = 1_000_000
# Reports in one datagram.
MAX_REPORTS = 32

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Bucket = typing.Annotated[int, msgspec.Meta(ge=0, le=sums_module.MAX_BUCKET)]


class SumsRow(msgspec.Struct, frozen=True, array_like=True):
    """Holds Sums; see there."""

    answers: _Count
    failures: _Count
    latencies: dict[_Bucket, _Count]

    def read(self):
        """Return the Sums.

        :raises ValueError: if the counts contradict each other.
        """
        sums = sums_module.Sums(self.answers, self.failures, self.latencies)
        if sum(self.latencies.values()) != sums.successes:
            raise ValueError('counts of latencies do not add up')
        return sums


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Holds the sums of one route at one distance."""

    stratum: str
    old: SumsRow
    new: SumsRow


class LinkRow(msgspec.Struct, frozen=True, array_like=True):
    """Holds LinkSums of requests to one data centre; see there."""

    data_centre: str
    old: _Count
    old_lost: _Count
    new: _Count
    new_lost: _Count

    def read(self):
        """Return the LinkSums.

        :raises ValueError: if the counts contradict each other.
        """
        if self.old_lost > self.old or self.new_lost > self.new:
            raise ValueError('more losses than requests')
        return losses.LinkSums(
            self.old, self.old_lost, self.new, self.new_lost
        )


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Tells what an instance knows of one roll-out.

    :param to_version: version of the RolloutOrder.
    :param over_s: seconds of the RolloutOrder.
    :param run: number of the roll-out of the service.
    :param age_ms: milliseconds since the sender saw the order being given, or
        None if it did not.
    :param reason: why the new version is bad, or empty.
    :param in_flight: number of requests in progress at old targets.
    :param is_draining: whether the sender sends nothing to old targets.
    :param is_moving: whether the move has begun.
    :param rows: Rows of the answers since the last report.
    :param links: LinkRows of the requests that have ended since then.
    """

    service: str
    to_version: str
    over_s: float
    run: int
    age_ms: typing.Annotated[int, msgspec.Meta(ge=0)] | None
    reason: str
    in_flight: _Count
    is_draining: bool
    is_moving: bool = False
    rows: tuple[Row, ...] = ()
    links: tuple[LinkRow, ...] = ()

    def is_for(self, order, record):
        """Return whether it tells of the roll-out of an order.

        :param order: RolloutOrder, or None.
        :param record: RolloutRecord, or None.
        """
        told = orders.RolloutOrder(self.service, self.to_version, self.over_s)
        return told == order and record is not None and record.run == self.run

    def read_pairs(self):
        """Return its pairs of Sums of old and new targets by stratum.

        :raises ValueError: if counts contradict each other.
        """
        return {r.stratum: (r.old.read(), r.new.read()) for r in self.rows}

    def read_links(self):
        """Return its LinkSums by data centre.

        :raises ValueError: if counts contradict each other.
        """
        return {r.data_centre: r.read() for r in self.links}


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Holds all that one instance tells another at a time.

    An answer confirms all roll-outs in the batch that it answers, but those in
    ``unknown`` and those that a Report in it calls bad. It holds Reports on
    what the other one did not know, without sums.

    :param format: FORMAT.
    :param sender: name of the instance that sends it.
    :param data_centre: that of the sender; empty in an answer.
    :param is_answer: whether it answers a batch, or is a warning.
    :param sent_ms: milliseconds of the runtime clock of the instance that
        sent the batch, which an answer repeats; None in a warning.
    :param unknown: services for which it knows of no such roll-out.
    """

    format: int
    sender: str
    data_centre: str
    is_answer: bool
    sent_ms: typing.Annotated[int, msgspec.Meta(ge=0)] | None
    reports: typing.Annotated[
        tuple[Report, ...], msgspec.Meta(max_length=MAX_REPORTS)
    ] = ()
    unknown: tuple[str, ...] = ()


_decoder = msgspec.msgpack.Decoder(Batch)


def make_row(stratum, pair):
    """Return the Row of a pair of Sums, of old and new targets."""
    return Row(
        stratum,
        *(SumsRow(s.answers, s.failures, dict(s.latencies)) for s in pair),
    )


def make_link_row(data_centre, sums):
    """Return the LinkRow of LinkSums of requests to a data centre."""
    return LinkRow(
        data_centre, sums.old, sums.old_lost, sums.new, sums.new_lost
    )


def round_time(seconds):
    """Return a time as ``sent_ms`` has it, in seconds."""
    return int(seconds * 1000) / 1000


def encode(batch):
    """Return the datagram of a Batch."""
    return MARK + msgspec.msgpack.encode(batch)


def claim(data):
    """Return a datagram that is about roll-outs.

    :raises ValueError: if it is about something else.
    """
    if not data.startswith(MARK):
        raise ValueError('no message about roll-outs')
    return data


def decode(data):
    """Return the Batch in a datagram.

    :raises ValueError: if it holds none, or one of another format.
    """
    return versioned.decode(_decoder, data[len(MARK) :], FORMAT)
