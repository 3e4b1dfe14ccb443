"""Records of fixed length in the bodies of replies."""

RECORD_BYTES = 16


def merge_records(bodies, limit):
    """Return the greatest records of several bodies, greatest first.

    :param bodies: records of ``RECORD_BYTES`` in any order; what is left
        at the end of a body is no record.
    :param limit: largest number of records.

    >>> merge_records([b'a' * 16 + b'c' * 16, b'b' * 16 + b'z'], 2)[::16]
    b'cb'
    """
    return b''.join(record for record, _ in _greatest(bodies, limit))


def prune_records(bodies, limit):
    """Return bodies with just those records that a merge of them keeps.

    Merged with any further bodies, they give the same records as before.

    >>> prune_records([b'a' * 16 + b'c' * 16, b'b' * 16], 2)
    [b'cccccccccccccccc', b'bbbbbbbbbbbbbbbb']
    """
    kept = [[] for _ in bodies]
    for record, i in _greatest(bodies, limit):
        kept[i].append(record)
    return [b''.join(records) for records in kept]


def _greatest(bodies, limit):
    """Return the greatest records, each with the number of its body."""
    found = [
        (body[at : at + RECORD_BYTES], i)
        for i, body in enumerate(bodies)
        for at in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    found.sort(reverse=True)
    return found[:limit]
