"""Checking, packing and adopting a sheet, by its size."""

import json
import pathlib
import time

from examples import make_sheets
from savorycross.catalogue import keeper
from savorycross.membership import authority
from savorycross.membership import member
from savorycross.ownership import rendezvous
from savorycross.sheet import check
from savorycross.sheet import diff

SIZES = (1000, 4000, 16000)


def make_sheet(targets):
    """Return the bytes of a sheet with about so many targets."""
    writer = make_sheets.SheetWriter(
        [f'dc-{n}' for n in range(12)], first_port=1024
    )
    writer.add_index('large', targets // 3, 6, 50)
    writer.add_workload('find', 'query', 'large', 0, 1000)
    return make_sheets.to_bytes(writer.rows)


def measure(targets, instances=3200):
    """Return the figures for one size of sheet."""
    data = make_sheet(targets)
    made, check_s = _timed(check.check, data)
    packed, pack_s = _timed(keeper.encode_compressed, made)
    _, unpack_s = _timed(keeper.decode_compressed, packed)
    _, diff_s = _timed(diff.diff, made, made)
    _, state_s = _timed(
        lambda: [made.state_of(t.name, 0.0) for t in made.targets]
    )
    first_s, change_s, adopt_s = _adopt(made, instances)
    return {
        'targets': len(made.targets),
        'sheet_bytes': len(data),
        'check_s': check_s,
        'packed_bytes': len(packed),
        'pack_s': pack_s,
        'unpack_s': unpack_s,
        'diff_s': diff_s,
        'states_s': state_s,
        'first_ranks_s': first_s,
        'view_change_s': change_s,
        'authority_adopt_s': adopt_s,
    }


def _adopt(made, instances):
    """Time the first ranks, one view change and its adoption.

    Ranks are made for 1% of the replica sets and the times multiplied.
    """
    members = tuple(
        member.Member(f'i{n}', 'x', '127.0.0.1', 1, 1, 1)
        for n in range(instances)
    )
    names = list(made.replica_sets)
    some = names[: max(1, len(names) // 100)]
    factor = len(names) / len(some)
    ownership = rendezvous.RendezvousOwnership()

    def rank(found):
        for name in some:
            ownership.rank(name, None, found)

    _, first_s = _timed(rank, members[1:])
    _, change_s = _timed(rank, members)
    owners = {
        t.name: members[n % instances].name for n, t in enumerate(made.targets)
    }
    found = authority.Authority('i0')
    everyone = [m.name for m in members]
    _, adopt_s = _timed(
        found.adopt, authority.Generation(1, 1), everyone, owners, 0.0
    )
    return (
        round(first_s * factor, 3),
        round(change_s * factor, 3),
        adopt_s,
    )


def _timed(call, *args):
    begun = time.process_time()
    found = call(*args)
    return found, round(time.process_time() - begun, 4)


def main(sizes=SIZES, out='docs/measurements'):
    """Measure all sizes and write JSON."""
    rows = []
    for targets in sizes if isinstance(sizes, (tuple, list)) else [sizes]:
        rows.append(measure(targets))
        print(json.dumps(rows[-1]), flush=True)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'sheet.json').write_text(json.dumps(rows, indent=1) + '\n')
