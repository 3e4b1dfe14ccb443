"""Parsing of times as spreadsheet programs write them."""

import datetime
import re
import zoneinfo

_PATTERN = re.compile(
    r'(\d{4})[-/](\d{1,2})[-/](\d{1,2})'
    r'(?:[T ]+(\d{1,2}):(\d{2})(?::(\d{2}))?)?'
    r'\s*(Z|[+-]\d{2}:?\d{2})?'
)
ALLOWED = (
    'a time like 2026-12-04 06:30, 2026/12/4 6:30 or '
    '2026-12-04T06:30+09:00 that happens once in its zone'
)


def find_zone(name):
    """Return the time zone with a name of the IANA time zone database.

    :raises ValueError: if there is no such zone.
    """
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError) as exc:
        raise ValueError(name) from exc


def parse(text, zone):
    """Return a time in seconds since the epoch.

    :param text: date, optional time of day and optional UTC offset.
    :param zone: tzinfo of a text that states no UTC offset.
    :raises ValueError: if the text is not a time, or is a local time that a
        clock change of the zone skips or repeats.

    >>> parse('1970/1/1 9:00', find_zone('Asia/Tokyo'))
    0.0
    >>> parse('1970-01-01T00:00:30Z', find_zone('Asia/Tokyo'))
    30.0
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(text)
    fields = [int(g or 0) for g in match.groups()[:6]]
    local = datetime.datetime(*fields)
    if match[7] is not None:
        offset = datetime.datetime.strptime(match[7], '%z').tzinfo
        return local.replace(tzinfo=offset).timestamp()
    return _to_timestamp(local, zone)


def _to_timestamp(local, zone):
    """Return a local time of a zone in seconds since the epoch.

    :raises ValueError: if the zone skips or repeats the local time.
    """
    earlier = local.replace(tzinfo=zone, fold=0)
    later = local.replace(tzinfo=zone, fold=1)
    if earlier.utcoffset() != later.utcoffset():
        raise ValueError(f'{local} is skipped or repeated in {zone}')
    return earlier.timestamp()
