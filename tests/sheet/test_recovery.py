"""What to write in place of a manifest that the store holds."""

import pytest

from savorycross.catalogue import catalogue
from savorycross.sheet import publish
from savorycross.sheet import recovery

SEEN = publish.Manifest(version=3, digest='c', writes=('a', 'b', 'c'))


def _manifest(version, *writes, digest='x'):
    return publish.Manifest(version, 'op', digest, (), writes)


@pytest.mark.parametrize(
    ('stored', 'current', 'expected'),
    [
        # Nothing has been accepted yet.
        (_manifest(0), catalogue.Catalogue(), None),
        # The store is ahead, or as far as this instance.
        (_manifest(4, 'c', 'd'), catalogue.Catalogue(version=3), None),
        (
            _manifest(3, 'c', digest=catalogue.Catalogue(version=3).digest),
            catalogue.Catalogue(version=3),
            None,
        ),
        # It holds a copy, or lost the manifest altogether.
        (_manifest(2, 'a', 'b'), catalogue.Catalogue(version=3), False),
        (_manifest(0), catalogue.Catalogue(version=3), False),
        # An operator has applied a sheet to the copy.
        (_manifest(3, 'a', 'z'), catalogue.Catalogue(version=3), True),
        (_manifest(2, 'a', 'z'), catalogue.Catalogue(version=3), True),
    ],
)
def test_recovery_follows_what_the_store_holds(stored, current, expected):
    planned = recovery.plan_recovery(stored, SEEN, current)
    if expected is None:
        assert planned is None
        return
    assert planned.takes_stored is expected
    assert planned.writes[:3] == SEEN.writes
    assert (planned.writes[3:] == ('z',)) is expected


def test_instance_that_has_read_no_manifest_takes_no_copy_for_a_new_sheet():
    current = catalogue.Catalogue(version=3)
    planned = recovery.plan_recovery(
        _manifest(1, 'a'), publish.Manifest(), current
    )
    assert planned is None
