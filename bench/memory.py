"""Measures the memory of each part of an instance's state."""

import json
import pathlib
import tracemalloc

from bench import sheet as sheets
from savorycross.booking import ledger
from savorycross.catalogue import keeper
from savorycross.membership import detector
from savorycross.membership import lease
from savorycross.membership import member
from savorycross.plan import inventory
from savorycross.sheet import check

INSTANCES = 3200
TARGETS = 16000
BOOKINGS = 20000


def measure(make):
    """Return the size in bytes of the object that a function makes."""
    tracemalloc.start()
    result = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size


def make_members():
    """Return the members of a fleet."""
    return [
        member.Member(f'instance-{n}', 'dc', f'10.0.{n}', 1, 2, n << 20)
        for n in range(INSTANCES)
    ]


def make_detector():
    """Return a failure detector with all members of a fleet."""
    members = make_members()
    failure_detector = detector.FailureDetector(members[0], detector.Header)
    failure_detector.set_members(members, 0.0)
    return failure_detector


def make_inventories():
    """Return the inventories of all targets."""
    table = inventory.InventoryTable()
    for number in range(TARGETS):
        snapshots = [inventory.Snapshot(v, 1) for v in (1, 2)]
        holdings = tuple(inventory.Holding(s, 3, (0, 1)) for s in snapshots)
        table.update(
            inventory.TargetInventory(
                f'target-{number}', f'boot-{number}', True, False, holdings, 1
            )
        )
    return table


def make_ledger():
    """Return a ledger of bookings that have run."""
    booking_ledger = ledger.Ledger()
    for number in range(BOOKINGS):
        booking_ledger.begin(number, 0.0, 1.0)
        booking_ledger.finish(number, ledger.Outcome.RAN, b'{"booked": true}')
    return booking_ledger


def make_ownership_lease():
    """Return an OwnershipLease with the owners of all targets."""
    ownership_lease = lease.OwnershipLease('instance-0')
    names = [f'instance-{n}' for n in range(INSTANCES)]
    owners = {f't{n}': names[n % INSTANCES] for n in range(TARGETS)}
    ownership_lease.adopt(lease.Generation(1, 1), names, owners, 0.0)
    return ownership_lease


def main(out='docs/measurements'):
    """Measure all parts and write JSON.

    :param out: folder of the results.
    """
    compressed = keeper.encode_compressed(
        check.check(sheets.make_sheet(TARGETS))
    )
    sizes = {
        'catalogue': measure(lambda: keeper.decode_compressed(compressed)),
        'detector': measure(make_detector),
        'inventories': measure(make_inventories),
        'authority': measure(make_ownership_lease),
        'ledger': measure(make_ledger),
    }
    counts = {
        'catalogue': TARGETS,
        'detector': INSTANCES,
        'inventories': TARGETS,
        'authority': TARGETS,
        'ledger': BOOKINGS,
    }
    rows = {
        name: {
            'items': counts[name],
            'bytes': size,
            'bytes_per_item': round(size / counts[name]),
        }
        for name, size in sizes.items()
    }
    print(json.dumps(rows))
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'memory.json').write_text(json.dumps(rows, indent=1) + '\n')
