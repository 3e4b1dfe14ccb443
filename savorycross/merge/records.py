"""Top-k merging of fixed-length records in the bodies of replies."""

RECORD_BYTES = 16


def merge_records(bodies, limit):
    """Return the greatest records of several bodies, greatest first.

    :param bodies: concatenated records of ``RECORD_BYTES`` in any order; an
        incomplete record at the end of a body is ignored.
    :param limit: largest number of records.

    >>> merge_records([b'a' * 16 + b'c' * 16, b'b' * 16 + b'z'], 2)[::16]
    b'cb'
    """
    return b''.join(record for record, _ in _select_greatest(bodies, limit))


def prune_records(bodies, limit):
    """Return the bodies without the records that a merge of them drops.

    Merged with any further bodies, the pruned bodies give the same records
    as the original ones.

    >>> prune_records([b'a' * 16 + b'c' * 16, b'b' * 16], 2)
    [b'cccccccccccccccc', b'bbbbbbbbbbbbbbbb']
    """
    kept = [[] for _ in bodies]
    for record, body_index in _select_greatest(bodies, limit):
        kept[body_index].append(record)
    return [b''.join(records) for records in kept]


def _select_greatest(bodies, limit):
    """Return the greatest records, each with the index of its body."""
    numbered_records = [
        (body[offset : offset + RECORD_BYTES], body_index)
        for body_index, body in enumerate(bodies)
        for offset in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    numbered_records.sort(reverse=True)
    return numbered_records[:limit]
