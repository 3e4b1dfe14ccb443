"""Writes the sample sheets of the two deployments.

Usage: python -m examples.make_sheets FOLDER
"""

import csv
import io
import pathlib
import sys

from savorycross.sheet import rows

HOKKAIDO = ('sapporo', 'asahikawa', 'hakodate')
NAVARRA = ('bilbo', 'donosti', 'iruña')


class SheetWriter:
    """Collects the rows of the sheet of one deployment.

    :param centres: names of its data centres.
    :param first_port: port of its first target.
    """

    def __init__(self, centres, first_port):
        self.rows = [{'kind': 'data_centre', 'name': c} for c in centres]
        self._centres = centres
        self._next_port = first_port

    def add_index(self, index, services, slots, connections):
        """Add services of three targets, each holding two of three shards.

        :param services: number of services.
        """
        for number in range(1, services + 1):
            name = f'{index}-{number:02}'
            self._add_service(name, index, 3)
            for position in range(3):
                shards = f'{position} {(position + 1) % 3}'
                self._add_target(
                    name, name, position, position, shards, slots, connections
                )

    def add_flat_index(self, index, targets, slots, connections):
        """Add one service whose targets are paired replicas.

        The last pair takes a third target if their number is odd.

        :param targets: number of targets and of shards.
        """
        self._add_service(index, index, targets)
        pairs = targets // 2
        for number in range(targets):
            pair = min(number // 2, pairs - 1)
            low = pair * 2
            high = targets if pair == pairs - 1 else low + 2
            shards = ' '.join(str(s) for s in range(low, high))
            self._add_target(
                index,
                f'{index}.{pair:02}',
                number,
                number,
                shards,
                slots,
                connections,
            )

    def add_workload(self, name, kind, index, priority, deadline_ms, **more):
        """Add a workload.

        :param deadline_ms: deadline in milliseconds.
        :param more: further columns of its row.
        """
        self.rows.append(
            {
                'kind': 'workload',
                'name': name,
                'type': kind,
                'index': index,
                'priority': priority,
                'deadline_ms': deadline_ms,
                **more,
            }
        )

    def _add_service(self, name, index, shards):
        self.rows.append(
            {'kind': 'service', 'name': name, 'index': index, 'shards': shards}
        )

    def _add_target(
        self,
        service,
        replica_set,
        number,
        position,
        shards,
        slots,
        connections,
    ):
        centre = self._centres[position % len(self._centres)]
        self.rows.append(
            {
                'kind': 'target',
                'name': f'{service}-t{number:02}',
                'service': service,
                'replica_set': replica_set,
                'data_centre': centre,
                'address': f'127.0.0.1:{self._next_port}',
                'shards': shards,
                'slots': slots,
                'connections': connections,
                'cold_slots': 1,
            }
        )
        self._next_port += 1

    def write(self, path):
        """Write the sheet as CSV."""
        pathlib.Path(path).write_bytes(to_bytes(self.rows))


def to_bytes(sheet_rows):
    """Return the bytes of a CSV file.

    :param sheet_rows: rows as dicts.
    """
    text = io.StringIO(newline='')
    writer = csv.DictWriter(text, rows.COLUMNS)
    writer.writeheader()
    writer.writerows(sheet_rows)
    return text.getvalue().encode()


def make_kitaguchi(first_port=21000):
    """Return a SheetWriter with the sheet of Kitaguchi's deployment."""
    writer = SheetWriter(HOKKAIDO, first_port)
    writer.add_index('booking-desk', 10, 6, 50)
    writer.add_index('shop-portal', 15, 6, 50)
    writer.add_flat_index('fit-records', 25, 2, 100)
    writer.add_flat_index('fitter-roster', 15, 2, 100)
    writer.add_workload('slot-check', 'query', 'fitter-roster', 0, 500)
    writer.add_workload('fitter-finder', 'query', 'shop-portal', 1, 1000)
    writer.add_workload('fit-history', 'query', 'fit-records', 2, 1000)
    writer.add_workload('book-slot', 'booking', 'booking-desk', 0, 2000)
    return writer


def make_relevo(first_port=22000):
    """Return a SheetWriter with the sheet of Relevo's deployment."""
    writer = SheetWriter(NAVARRA, first_port)
    writer.add_index('cover-finder', 10, 2, 25)
    writer.add_index('rota-sync', 15, 2, 25)
    writer.add_flat_index('member-desk', 6, 4, 40)
    writer.add_flat_index('paybook', 3, 4, 40)
    writer.add_workload('urgent-finder', 'query', 'cover-finder', 0, 2000)
    writer.add_workload('nearby-lookup', 'query', 'cover-finder', 1, 800)
    writer.add_workload('profile-fetch', 'query', 'member-desk', 2, 1000)
    writer.add_workload('rota-check', 'query', 'rota-sync', 3, 5000)
    writer.add_workload('payroll', 'query', 'paybook', 3, 5000)
    writer.add_workload('take-shift', 'booking', 'member-desk', 0, 2000)
    return writer


def main(folder):
    """Write both sheets."""
    folder = pathlib.Path(folder)
    make_kitaguchi().write(folder / 'kitaguchi.csv')
    make_relevo().write(folder / 'relevo.csv')


if __name__ == '__main__':
    main(sys.argv[1])
