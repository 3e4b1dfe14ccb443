"""A version of the configuration that operators declare."""

import dataclasses
import functools

import msgspec

from savorycross.catalogue import data_centre
from savorycross.catalogue import service
from savorycross.catalogue import state
from savorycross.catalogue import target
from savorycross.catalogue import workload
from savorycross import decoding


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """A version of the declared configuration.

    :param version: version number, which increases by one with each accepted
        sheet; 0 is the empty catalogue.
    :param author: name of the operator who applied the sheet.
    :param digest: hexadecimal SHA-256 digest of the declared items, without
        version and author.
    """

    version: int = 0
    author: str = ''
    digest: str = ''
    data_centres: tuple[data_centre.DataCentre, ...] = ()
    services: tuple[service.Service, ...] = ()
    targets: tuple[target.Target, ...] = ()
    workloads: tuple[workload.Workload, ...] = ()

    @functools.cached_property
    def target_by_name(self):
        """The targets by name."""
        return {t.name: t for t in self.targets}

    @functools.cached_property
    def service_by_name(self):
        """The services by name."""
        return {s.name: s for s in self.services}

    @functools.cached_property
    def data_centre_by_name(self):
        """The data centres by name."""
        return {d.name: d for d in self.data_centres}

    @functools.cached_property
    def workload_by_name(self):
        """The workloads by name."""
        return {w.name: w for w in self.workloads}

    @functools.cached_property
    def services_by_index(self):
        """Lists of services in declared order, by index name."""
        services_by_index = {}
        for item in self.services:
            services_by_index.setdefault(item.index, []).append(item)
        return services_by_index

    @functools.cached_property
    def replica_sets(self):
        """Lists of targets in declared order, by replica set name."""
        replica_sets = {}
        for item in self.targets:
            replica_sets.setdefault(item.replica_set, []).append(item)
        return replica_sets

    @functools.cached_property
    def targets_by_service(self):
        """Lists of targets in declared order, by service name."""
        targets_by_service = {}
        for item in self.targets:
            targets_by_service.setdefault(item.service, []).append(item)
        return targets_by_service

    def state_of(self, name, wall_time):
        """Return the declared state of a target.

        It is the more restrictive of the states of the target and of its
        data centre; a target that is not declared is ``OUT``.

        :param name: target name.
        :param wall_time: wall-clock time in seconds since the epoch.
        """
        item = self.target_by_name.get(name)
        if item is None:
            return state.State.OUT
        centre = self.data_centre_by_name.get(item.data_centre)
        centre_schedule = centre.schedule if centre else state.Schedule()
        return state.worst(
            item.schedule.state_at(wall_time),
            centre_schedule.state_at(wall_time),
        )

    def next_change(self, wall_time):
        """Return the next time at which any schedule changes.

        :param wall_time: wall-clock time in seconds since the epoch.
        :returns: seconds since the epoch, or None if no change follows.
        """
        items = (*self.data_centres, *self.targets)
        times = (i.schedule.next_change(wall_time) for i in items)
        return min((t for t in times if t is not None), default=None)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Catalogue)


def encode(catalogue):
    """Return the UTF-8 JSON encoding of a catalogue as bytes."""
    return _encoder.encode(catalogue)


def decode(data):
    """Return the catalogue that UTF-8 JSON bytes encode.

    :raises ValueError: if the bytes do not encode a catalogue.
    """
    return decoding.decode(_decoder, data)
