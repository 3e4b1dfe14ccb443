"""What a check of a configuration finds."""

import dataclasses
import enum


class Severity(enum.StrEnum):
    """How bad a finding is.

    With an ERROR some requests fail that operators meant to be served, or the
    configuration is not taken at all; a WARNING is probably a mistake.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong in a configuration.

    :param place: the entry, such as ``route 'search'``.
    :param message: what is wrong there, with the offending value.
    """

    severity: Severity
    place: str
    message: str
