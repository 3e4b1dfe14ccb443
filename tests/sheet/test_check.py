import hypothesis
from hypothesis import strategies
import pytest

from examples import make_sheets
from savorycross.catalogue import state
from savorycross import errors
from savorycross.sheet import check
from savorycross.sheet import diff
from tests import deployments


def _make_edited_sheet(name, column, value):
    """Return the bytes of a sheet with a new value in one cell."""
    lines = deployments.make_sheet().decode().splitlines()
    header = lines[0].split(',')
    column_index = header.index(column)
    edited = []
    for line in lines:
        cells = line.split(',')
        if cells[1] == name:
            cells[column_index] = value
        edited.append(','.join(cells))
    return '\n'.join(edited).encode()


def invalid_cells_of(data):
    with pytest.raises(errors.SheetInvalidError) as caught:
        check.check(data)
    return caught.value.details


@pytest.mark.parametrize(
    'column, value, allowed',
    [
        ('slots', 'many', 'a whole number from 1 to 10000'),
        ('slots', '0', 'a whole number from 1 to 10000'),
        ('address', 'localhost:80', 'an IP address with a port'),
        ('address', '127.0.0.1:99999', 'an IP address with a port'),
        ('data_centre', 'nowhere', 'a data centre of this sheet'),
        ('service', 'svc-9', 'a service of this sheet'),
        ('shards', '0 0', 'a list of different numbers'),
        ('shards', '7', 'shards from 0 to 2'),
        ('state', 'ajar', 'one of open, closing, out'),
        ('begin', 'tomorrow', 'a time like'),
    ],
)
def test_invalid_cell_is_reported_with_row_column_value_and_allowed_values(
    column, value, allowed
):
    data = _make_edited_sheet('svc-1-north', column, value)
    lines = invalid_cells_of(data)
    expected = f'column {column}: {value!r} is not {allowed}'
    assert any(expected in line and 'row 6' in line for line in lines), lines


def test_all_invalid_cells_are_reported_at_once():
    data = _make_edited_sheet('svc-1-north', 'slots', 'x')
    data = data.replace(b'svc-2-south,,svc-2', b'svc-2-south,,svc-7')
    assert len(invalid_cells_of(data)) >= 2


def test_shard_held_by_no_target_is_invalid():
    sheet = deployments.make_sheet(services=1, shards=3)
    sheet = sheet.replace(b',0 1 2,', b',0 1,')
    assert any('no target holds 2' in line for line in invalid_cells_of(sheet))


@pytest.mark.parametrize(
    'convert',
    [
        lambda text: b'\xef\xbb\xbf' + text.encode(),
        lambda text: text.replace(',', ';').encode(),
        lambda text: text.replace(',', '\t').encode('utf-16'),
        lambda text: text.replace('\n', '\r\n').encode(),
        lambda text: (text + ',,,\n' + ',' * 19 + '\n').encode(),
        lambda text: '\n'.join(
            line + ',,' for line in text.splitlines()
        ).encode(),
    ],
    ids=['bom', 'semicolons', 'utf-16', 'crlf', 'empty-rows', 'columns'],
)
def test_variants_of_csv_exports_give_the_same_catalogue(convert):
    text = deployments.make_sheet().decode().replace('\r\n', '\n')
    assert check.check(convert(text)) == check.check(text.encode())


def test_names_may_contain_non_ascii_letters():
    writer = make_sheets.SheetWriter(('iruña', '札幌'), 31000)
    writer.add_index('自転車', 1, 2, 20)
    catalogue = check.check(make_sheets.to_bytes(writer.rows))
    assert {d.name for d in catalogue.data_centres} == {'iruña', '札幌'}


def test_local_times_are_in_the_zone_of_the_sheet():
    extra = [
        {'kind': 'zone', 'name': 'Asia/Tokyo'},
        {
            'kind': 'state',
            'name': 'north',
            'state': 'out',
            'begin': '1970/1/1 9:00',
            'end': '1970-01-01T00:01:00Z',
        },
    ]
    catalogue = check.check(deployments.make_sheet(extra=extra))
    states = [catalogue.state_of('svc-1-north', t) for t in (-1, 0, 59, 60)]
    assert states == [
        state.State.OPEN,
        state.State.OUT,
        state.State.OUT,
        state.State.OPEN,
    ]


def test_repeated_local_time_is_invalid():
    extra = [
        {'kind': 'zone', 'name': 'Europe/Madrid'},
        {
            'kind': 'state',
            'name': 'north',
            'state': 'out',
            'begin': '2026-10-25 02:30',
        },
    ]
    assert invalid_cells_of(deployments.make_sheet(extra=extra))


def test_row_numbers_count_quoted_line_breaks():
    sheet = deployments.make_sheet().decode()
    header, first_row, rest = sheet.split('\r\n', 2)
    with_line_break = '\r\n'.join(
        [header, first_row, 'zone,"Asia/\nTokyo"', rest]
    )
    assert any(
        'row 4' in line for line in invalid_cells_of(with_line_break.encode())
    )


@hypothesis.given(strategies.binary(max_size=400))
def test_any_bytes_are_a_sheet_or_an_error_with_a_code(data):
    try:
        check.check(data)
    except errors.SheetInvalidError as exc:
        assert exc.code == 'sheet_invalid'


@hypothesis.given(strategies.integers(0, 2000), strategies.text(max_size=8))
@hypothesis.settings(max_examples=60, deadline=None)
def test_damaged_sheet_is_checked_or_refused(place, text):
    data = deployments.make_sheet()
    place %= len(data)
    try:
        check.check(data[:place] + text.encode() + data[place + 1 :])
    except errors.SheetInvalidError as exc:
        assert exc.message


def test_removal_of_most_targets_is_detected():
    full = check.check(deployments.make_sheet(services=4))
    half = check.check(deployments.make_sheet(services=1))
    assert diff.closes_most_targets(full, half, 0.0)
    assert not diff.closes_most_targets(half, full, 0.0)


def test_closing_of_most_targets_is_detected():
    extra = [
        {'kind': 'state', 'name': name, 'state': 'out'}
        for name in ('north', 'south')
    ]
    full = check.check(deployments.make_sheet())
    closed = check.check(deployments.make_sheet(extra=extra))
    assert diff.closes_most_targets(full, closed, 0.0)


def test_diff_lists_changed_fields():
    before = check.check(deployments.make_sheet(slots=4))
    after = check.check(deployments.make_sheet(slots=5))
    lines = [str(c) for c in diff.diff(before, after)]
    assert 'target svc-1-north: slots 4 -> 5' in lines
    assert len(lines) == 6
