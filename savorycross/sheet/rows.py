"""Rows of a sheet in CSV, as spreadsheet programs export it."""

import csv
import dataclasses
import io

from savorycross import errors

COLUMNS = (
    'kind',
    'name',
    'index',
    'service',
    'replica_set',
    'data_centre',
    'address',
    'shards',
    'epoch',
    'slots',
    'connections',
    'cold_slots',
    'state',
    'begin',
    'end',
    'type',
    'priority',
    'deadline_ms',
    'early_ms',
    'min_coverage',
)
DELIMITERS = ',;\t'
MAX_SHEET_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row with at least one cell that is not empty.

    :param number: number of the last line of the row in the file, from 1.
    :param cells: values by column name, without surrounding white space.
    """

    number: int
    cells: dict[str, str]

    def get(self, column):
        """Return the value in a column, or an empty string."""
        return self.cells.get(column, '')


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidCell:
    """A cell whose value is not allowed.

    :param row: number of the row, as ``Row.number``.
    :param column: name of the column; in a header row, its number from 1 if
        the name is unknown.
    :param value: text of the cell.
    :param allowed: description of the values that are allowed.

    >>> allowed = 'a whole number from 1 to 10000'
    >>> str(InvalidCell(3, 'slots', 'many', allowed))
    "row 3, column slots: 'many' is not a whole number from 1 to 10000"
    """

    row: int
    column: str
    value: str
    allowed: str

    def __str__(self):
        """Return a description in one line."""
        return (
            f'row {self.row}, column {self.column}: '
            f'{self.value!r} is not {self.allowed}'
        )


def read(data, encoding=None):
    """Return the rows of a CSV file as a list of Row.

    A byte order mark, commas, semicolons or tabs as the delimiter, any line
    ends, empty rows and trailing empty columns are accepted.

    :param data: bytes of the file.
    :param encoding: name of the encoding; if None, UTF-16 if the file begins
        with its byte order mark, else UTF-8.
    :raises SheetInvalidError: if the file cannot be decoded or parsed, or its
        header row is invalid.
    """
    if len(data) > MAX_SHEET_BYTES:
        raise errors.SheetInvalidError(
            f'sheet of {len(data)} bytes is too large'
        )
    text = _decode(data, encoding)
    first_line = text.lstrip('\r\n').partition('\n')[0]
    delimiter = max(DELIMITERS, key=first_line.count)
    source = io.StringIO(text, newline='')
    reader = csv.reader(source, delimiter=delimiter, strict=True)
    try:
        return _parse_rows(reader)
    except csv.Error as exc:
        raise errors.SheetInvalidError(
            f'row {reader.line_num}: invalid CSV: {exc}'
        ) from exc


def _decode(data, encoding):
    if encoding is None:
        utf16 = data.startswith((b'\xff\xfe', b'\xfe\xff'))
        encoding = 'utf-16' if utf16 else 'utf-8-sig'
    try:
        return data.decode(encoding)
    except (UnicodeDecodeError, LookupError) as exc:
        raise errors.SheetInvalidError(
            f'sheet is not {encoding} text; specify its encoding'
        ) from exc


def _parse_rows(reader):
    header = None
    rows = []
    for cells in reader:
        cells = [c.strip() for c in cells]
        if not any(cells):
            continue
        if header is None:
            header = _parse_header(cells, reader.line_num)
            continue
        rows.append(_parse_row(header, cells, reader.line_num))
    if header is None:
        raise errors.SheetInvalidError('sheet has no header row')
    return rows


def _parse_header(cells, number):
    names = [c.lower().replace(' ', '_') for c in cells]
    while names and not names[-1]:
        names.pop()
    invalid_cells = [
        InvalidCell(number, str(i + 1), name, 'one of ' + ', '.join(COLUMNS))
        for i, name in enumerate(names)
        if name not in COLUMNS
    ]
    duplicates = {n for n in names if names.count(n) > 1}
    invalid_cells += [
        InvalidCell(number, n, n, 'a column named once') for n in duplicates
    ]
    missing = [n for n in ('kind', 'name') if n not in names]
    invalid_cells += [InvalidCell(number, n, '', 'present') for n in missing]
    if invalid_cells:
        raise make_error(invalid_cells)
    return names


def _parse_row(header, cells, number):
    extra = [c for c in cells[len(header) :] if c]
    if extra:
        raise make_error(
            [InvalidCell(number, 'after last', extra[0], 'empty')]
        )
    return Row(number, dict(zip(header, cells, strict=False)))


def make_error(invalid_cells):
    """Return a SheetInvalidError with one detail line for each cell."""
    return errors.SheetInvalidError(
        f'{len(invalid_cells)} invalid cells',
        details=[str(c) for c in invalid_cells],
    )
