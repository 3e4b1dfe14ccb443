"""Measures checking, encoding and adopting a sheet, by its size."""

import json
import pathlib
import time

from examples import make_sheets
from savorycross.catalogue import keeper
from savorycross.membership import lease
from savorycross.membership import member
from savorycross.ownership import rendezvous
from savorycross.sheet import check
from savorycross.sheet import diff

SIZES = (1000, 4000, 16000)


def make_sheet(targets):
    """Return the bytes of a sheet.

    :param targets: number of targets, rounded down to a multiple of 3.
    """
    writer = make_sheets.SheetWriter(
        [f'dc-{n}' for n in range(12)], first_port=1024
    )
    writer.add_index('large', targets // 3, 6, 50)
    writer.add_workload('find', 'query', 'large', 0, 1000)
    return make_sheets.to_bytes(writer.rows)


def measure(targets, instances=3200):
    """Return the measurements of one size of sheet."""
    data = make_sheet(targets)
    catalogue, check_s = _timed(check.check, data)
    compressed, pack_s = _timed(keeper.encode_compressed, catalogue)
    _, unpack_s = _timed(keeper.decode_compressed, compressed)
    _, diff_s = _timed(diff.diff, catalogue, catalogue)
    _, state_s = _timed(
        lambda: [catalogue.state_of(t.name, 0.0) for t in catalogue.targets]
    )
    first_s, change_s, adopt_s = _adopt(catalogue, instances)
    return {
        'targets': len(catalogue.targets),
        'sheet_bytes': len(data),
        'check_s': check_s,
        'packed_bytes': len(compressed),
        'pack_s': pack_s,
        'unpack_s': unpack_s,
        'diff_s': diff_s,
        'states_s': state_s,
        'first_ranks_s': first_s,
        'view_change_s': change_s,
        'authority_adopt_s': adopt_s,
    }


def _adopt(catalogue, instances):
    """Measure the first ranking, a view change and its adoption in seconds.

    Only 1% of the replica sets are ranked, and the times are scaled up.
    """
    members = tuple(
        member.Member(f'i{n}', 'x', '127.0.0.1', 1, 1, 1)
        for n in range(instances)
    )
    names = list(catalogue.replica_sets)
    sampled_names = names[: max(1, len(names) // 100)]
    factor = len(names) / len(sampled_names)
    ownership = rendezvous.RendezvousOwnership()

    def rank(ranked_members):
        for name in sampled_names:
            ownership.rank(name, None, ranked_members)

    _, first_s = _timed(rank, members[1:])
    _, change_s = _timed(rank, members)
    owners = {
        t.name: members[n % instances].name
        for n, t in enumerate(catalogue.targets)
    }
    ownership_lease = lease.OwnershipLease('i0')
    member_names = [m.name for m in members]
    _, adopt_s = _timed(
        ownership_lease.adopt,
        lease.Generation(1, 1),
        member_names,
        owners,
        0.0,
    )
    return (
        round(first_s * factor, 3),
        round(change_s * factor, 3),
        adopt_s,
    )


def _timed(function, *args):
    started_at = time.process_time()
    result = function(*args)
    return result, round(time.process_time() - started_at, 4)


def main(sizes=SIZES, out='docs/measurements'):
    """Measure all sizes and write JSON.

    :param sizes: numbers of targets.
    :param out: folder of the results.
    """
    rows = []
    for targets in sizes if isinstance(sizes, (tuple, list)) else [sizes]:
        rows.append(measure(targets))
        print(json.dumps(rows[-1]), flush=True)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'sheet.json').write_text(json.dumps(rows, indent=1) + '\n')
