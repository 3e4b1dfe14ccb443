"""Conversion of single cells, and collection of the invalid ones."""

import ipaddress

from savorycross.catalogue import state
from savorycross.sheet import rows
from savorycross.sheet import times

NAME_ALLOWED = 'a name of 1 to 100 characters without spaces, / | and ,'
_NAME_FORBIDDEN = frozenset('/|,;"')


class CellReader:
    """Converts the cells of rows and collects the invalid cells.

    The methods return a usable value for an invalid cell too, so that all
    invalid cells of a sheet are reported at once.

    :param zone: tzinfo of times that state no UTC offset.
    """

    def __init__(self, zone):
        self.invalid_cells = []
        self._zone = zone

    def add_invalid(self, row, column, allowed, value=None):
        """Record that a cell is invalid.

        :param row: Row of the cell.
        :param column: name of its column.
        :param allowed: description of the values that are allowed.
        :param value: value to report; the cell's text if None.
        """
        reported = row.get(column) if value is None else value
        self.invalid_cells.append(
            rows.InvalidCell(row.number, column, reported, allowed)
        )

    def name(self, row, column='name', default=None):
        """Return a name; an empty cell gives ``default``, if there is one."""
        text = row.get(column)
        if not text and default is not None:
            return default
        is_forbidden = _NAME_FORBIDDEN.intersection(text) or any(
            c.isspace() for c in text
        )
        if is_forbidden or not 1 <= len(text) <= 100:
            self.add_invalid(row, column, NAME_ALLOWED)
        return text

    def integer(self, row, column, low, high, default=None):
        """Return a whole number from ``low`` to ``high``.

        :param default: value of an empty cell; an empty cell is invalid if
            this is None.
        :returns: the number, or ``low`` if the cell is invalid.
        """
        text = row.get(column)
        if not text and default is not None:
            return default
        value = int(text) if text.isascii() and text.isdigit() else None
        if value is None or not low <= value <= high:
            self.add_invalid(
                row, column, f'a whole number from {low} to {high}'
            )
            return low
        return value

    def ratio(self, row, column):
        """Return a number from 0 to 1; an empty or invalid cell gives 0."""
        text = row.get(column) or '0'
        try:
            value = float(text.replace(',', '.'))
        except ValueError:
            value = -1.0
        if not 0.0 <= value <= 1.0:
            self.add_invalid(row, column, 'a number from 0 to 1')
            return 0.0
        return value

    def choice(self, row, column, values, default=None):
        """Return a member of an enumeration.

        :param values: the Enum class; the cell holds a member's value, in
            any case.
        :param default: member for an empty cell; an empty cell is invalid
            if this is None.
        :returns: the member, or the first one if the cell is invalid.
        """
        text = row.get(column).lower()
        if not text and default is not None:
            return default
        try:
            return values(text)
        except ValueError:
            names = ', '.join(v.value for v in values)
            self.add_invalid(row, column, f'one of {names}')
            return next(iter(values))

    def numbers(self, row, column):
        """Return a tuple of distinct whole numbers separated by spaces."""
        parts = row.get(column).split()
        if not parts or not all(p.isascii() and p.isdigit() for p in parts):
            self.add_invalid(row, column, 'whole numbers separated by spaces')
            return ()
        numbers = tuple(int(p) for p in parts)
        if len(set(numbers)) != len(numbers):
            self.add_invalid(row, column, 'a list of different numbers')
        return numbers

    def address(self, row, column='address'):
        """Return the host and the port of an IP address with a port."""
        host, _, port = row.get(column).rpartition(':')
        host = host.removeprefix('[').removesuffix(']')
        try:
            ipaddress.ip_address(host)
            port_number = int(port)
        except ValueError:
            port_number = 0
        if not 1 <= port_number <= 65535:
            self.add_invalid(row, column, 'an IP address with a port')
        return host, port_number

    def period(self, row):
        """Return the Period that a row declares.

        :returns: the Period, or None if the row has no cells for one or its
            state is open.
        """
        if not any(row.get(c) for c in ('state', 'begin', 'end')):
            return None
        declared = self.choice(row, 'state', state.State)
        begin = self._time(row, 'begin')
        end = self._time(row, 'end')
        if begin is not None and end is not None and end <= begin:
            self.add_invalid(row, 'end', 'later than begin')
        if declared is state.State.OPEN:
            if begin is not None or end is not None:
                self.add_invalid(
                    row, 'state', 'closing or out, if it has times'
                )
            return None
        return state.Period(declared, begin, end)

    def _time(self, row, column):
        text = row.get(column)
        if not text:
            return None
        try:
            return times.parse(text, self._zone)
        except (ValueError, OverflowError):
            self.add_invalid(row, column, times.ALLOWED)
            return None
