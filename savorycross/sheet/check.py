"""Validation of a whole sheet, which gives a catalogue."""

import collections
import dataclasses
import datetime
import hashlib

import msgspec

from savorycross.catalogue import catalogue
from savorycross.catalogue import data_centre
from savorycross.catalogue import service
from savorycross.catalogue import state
from savorycross.catalogue import target
from savorycross.catalogue import workload
from savorycross.sheet import cells
from savorycross.sheet import rows
from savorycross.sheet import times

KINDS = ('zone', 'data_centre', 'service', 'target', 'state', 'workload')
MAX_SHARDS = 100_000
MAX_DEADLINE_MS = 600_000


def check(data, encoding=None):
    """Return the Catalogue that a sheet declares, without a version.

    :param data: bytes of a CSV file.
    :param encoding: name of the file's encoding, or None as for
        ``rows.read``.
    :raises SheetInvalidError: with one detail line for each invalid cell.
    """
    sheet_rows = rows.read(data, encoding)
    builder = _CatalogueBuilder(sheet_rows)
    built = builder.build()
    if builder.invalid_cells:
        ordered = sorted(
            builder.invalid_cells, key=lambda c: (c.row, c.column)
        )
        raise rows.make_error(ordered)
    return built


def digest(declared):
    """Return the hexadecimal SHA-256 digest of a catalogue's items.

    :param declared: Catalogue; its version and author are left out.
    """
    content = (
        declared.data_centres,
        declared.services,
        declared.targets,
        declared.workloads,
    )
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


class _CatalogueBuilder:
    """Builds a catalogue from the rows of a sheet and validates them.

    Each method that reads one kind of item returns a dict by name.
    """

    def __init__(self, sheet_rows):
        self._rows = collections.defaultdict(list)
        for row in sheet_rows:
            self._rows[row.get('kind').lower()].append(row)
        self._reader = cells.CellReader(datetime.UTC)
        self._reader = cells.CellReader(self._find_zone())
        self._check_kinds()

    @property
    def invalid_cells(self):
        """The invalid cells that have been read so far."""
        return self._reader.invalid_cells

    def build(self):
        """Return the catalogue; it is valid only without invalid cells."""
        periods = self._read_periods()
        centres = self._read_data_centres(periods)
        services = self._read_services()
        targets = self._read_targets(periods, centres, services)
        workloads = self._read_workloads(services)
        self._check_all_shards_held(services, targets)
        self._check_replica_sets(targets)
        self._check_states(centres, targets)
        built = catalogue.Catalogue(
            data_centres=tuple(centres.values()),
            services=tuple(services.values()),
            targets=tuple(targets.values()),
            workloads=tuple(workloads.values()),
        )
        return dataclasses.replace(built, digest=digest(built))

    def _find_zone(self):
        for row in self._rows['zone']:
            try:
                return times.find_zone(row.get('name'))
            except ValueError:
                pass
        return datetime.UTC

    def _check_kinds(self):
        for kind, kind_rows in self._rows.items():
            if kind in KINDS:
                continue
            for row in kind_rows:
                self._reader.add_invalid(
                    row, 'kind', 'one of ' + ', '.join(KINDS)
                )
        for row in self._rows['zone']:
            try:
                times.find_zone(row.get('name'))
            except ValueError:
                self._reader.add_invalid(row, 'name', 'a time zone')
        for row in self._rows['zone'][1:]:
            self._reader.add_invalid(row, 'kind', 'given once')

    def _add(self, row, items, item):
        if item.name in items:
            self._reader.add_invalid(row, 'name', 'a name used once')
        items[item.name] = item

    def _read_periods(self):
        """Return lists of periods, by name of data centre or target."""
        periods = collections.defaultdict(list)
        for kind in ('data_centre', 'target', 'state'):
            for row in self._rows[kind]:
                period = self._reader.period(row)
                if period is not None:
                    periods[row.get('name')].append(period)
        return periods

    def _read_data_centres(self, periods):
        items = {}
        for row in self._rows['data_centre']:
            name = self._reader.name(row)
            schedule = state.Schedule(tuple(periods[name]))
            self._add(row, items, data_centre.DataCentre(name, schedule))
        return items

    def _read_services(self):
        items = {}
        reader = self._reader
        for row in self._rows['service']:
            item = service.Service(
                name=reader.name(row),
                index=reader.name(row, 'index'),
                shards=reader.integer(row, 'shards', 1, MAX_SHARDS),
                epoch=reader.integer(row, 'epoch', 1, 2**31, default=1),
            )
            self._add(row, items, item)
        return items

    def _read_targets(self, periods, centres, services):
        items = {}
        for row in self._rows['target']:
            item = self._read_target(row, periods)
            if item.data_centre not in centres:
                self._reader.add_invalid(
                    row, 'data_centre', 'a data centre of this sheet'
                )
            self._check_target_shards(row, item, services)
            self._add(row, items, item)
        return items

    def _read_target(self, row, periods):
        reader = self._reader
        name = reader.name(row)
        host, port = reader.address(row)
        slots = reader.integer(row, 'slots', 1, 10_000)
        return target.Target(
            name=name,
            service=row.get('service'),
            replica_set=reader.name(
                row, 'replica_set', default=row.get('service')
            ),
            data_centre=row.get('data_centre'),
            host=host,
            port=port,
            shards=reader.numbers(row, 'shards'),
            slots=slots,
            connections=reader.integer(row, 'connections', 2, 100_000),
            cold_slots=reader.integer(row, 'cold_slots', 1, slots, default=1),
            schedule=state.Schedule(tuple(periods[name])),
        )

    def _check_target_shards(self, row, item, services):
        declared = services.get(item.service)
        if declared is None:
            self._reader.add_invalid(row, 'service', 'a service of this sheet')
            return
        high = declared.shards - 1
        if any(number > high for number in item.shards):
            self._reader.add_invalid(row, 'shards', f'shards from 0 to {high}')

    def _read_workloads(self, services):
        items = {}
        reader = self._reader
        indexes = {s.index for s in services.values()}
        for row in self._rows['workload']:
            deadline = reader.integer(row, 'deadline_ms', 1, MAX_DEADLINE_MS)
            item = workload.Workload(
                name=reader.name(row),
                kind=reader.choice(row, 'type', workload.Kind),
                index=row.get('index'),
                priority=reader.integer(row, 'priority', 0, 3),
                deadline_ms=deadline,
                early_ms=reader.integer(
                    row, 'early_ms', 0, deadline, default=0
                ),
                min_coverage=reader.ratio(row, 'min_coverage'),
            )
            if item.index not in indexes:
                reader.add_invalid(row, 'index', 'an index of a service')
            self._add(row, items, item)
        return items

    def _check_all_shards_held(self, services, targets):
        held_shards = collections.defaultdict(set)
        for item in targets.values():
            held_shards[item.service].update(item.shards)
        for row in self._rows['service']:
            declared = services.get(row.get('name'))
            if (
                declared is None
                or len(held_shards[declared.name]) >= declared.shards
            ):
                continue
            missing = sorted(
                set(range(declared.shards)) - held_shards[declared.name]
            )
            text = ' '.join(map(str, missing[:10]))
            self._reader.add_invalid(
                row,
                'shards',
                f'held in full by targets: no target holds {text}',
            )

    def _check_replica_sets(self, targets):
        service_of = {}
        for row in self._rows['target']:
            item = targets[row.get('name')]
            set_service = service_of.setdefault(item.replica_set, item.service)
            if set_service != item.service:
                self._reader.add_invalid(
                    row, 'replica_set', 'a replica set of one service'
                )

    def _check_states(self, centres, targets):
        for row in self._rows['state']:
            name = row.get('name')
            if name not in centres and name not in targets:
                self._reader.add_invalid(
                    row, 'name', 'a data centre or a target'
                )
            if not row.get('state'):
                self._reader.add_invalid(row, 'state', 'one of closing, out')
