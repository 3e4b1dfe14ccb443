"""Exceptions with stable codes.

Every error that a process reports in an HTTP answer, as an exit status or in
a log line has the ``code`` of one of these classes.
"""

NOT_RUN = 'not_run'
UNKNOWN_OUTCOME = 'unknown_outcome'


class SavorycrossError(Exception):
    """Base class of all errors of this package.

    :param message: one line of text that describes the error.
    :param details: further lines, for example one for each invalid cell.
    """

    code = 'internal'
    http_status = 500
    exit_status = 1
    outcome = NOT_RUN

    def __init__(self, message, details=()):
        super().__init__(message)
        self.message = message
        self.details = tuple(details)


class UsageError(SavorycrossError):
    """The command line is invalid."""

    code = 'usage'
    http_status = 400
    exit_status = 2


class SettingsError(SavorycrossError):
    """At least one setting is missing, unknown or has an invalid value."""

    code = 'settings_invalid'
    exit_status = 2


class BadRequestError(SavorycrossError):
    """The request is malformed or has a field that is out of range."""

    code = 'bad_request'
    http_status = 400
    exit_status = 2


class BodyTooLargeError(SavorycrossError):
    """The request body is longer than the limit."""

    code = 'body_too_large'
    http_status = 413


class NotFoundError(SavorycrossError):
    """There is no resource at this path, or nothing with this name."""

    code = 'not_found'
    http_status = 404


class UnknownWorkloadError(SavorycrossError):
    """The request names a workload that the configuration does not declare."""

    code = 'unknown_workload'
    http_status = 404


class NotReadyError(SavorycrossError):
    """The instance cannot serve requests yet, or is stopping."""

    code = 'not_ready'
    http_status = 503


class OverloadedError(SavorycrossError):
    """Admission control refused the request; no target has received it."""

    code = 'overloaded'
    http_status = 429


class DeadlineInfeasibleError(SavorycrossError):
    """The deadline is shorter than the request can take."""

    code = 'deadline_infeasible'
    http_status = 429


class CoverageTooLowError(SavorycrossError):
    """Fewer shards answered than the caller or the workload requires."""

    code = 'coverage_too_low'
    http_status = 503
    exit_status = 3


class BookingNotRunError(SavorycrossError):
    """The booking has not run and will not run under this ticket."""

    code = 'not_run'
    http_status = 503
    exit_status = 3


class UnknownOutcomeError(SavorycrossError):
    """The booking may or may not have run; it is never run again."""

    code = 'unknown_outcome'
    http_status = 504
    exit_status = 4
    outcome = UNKNOWN_OUTCOME


class TicketInvalidError(SavorycrossError):
    """The ticket was not issued by any instance."""

    code = 'ticket_invalid'
    http_status = 400


class StoreUnavailableError(SavorycrossError):
    """The platform's key-value service did not answer."""

    code = 'store_unavailable'
    http_status = 503
    exit_status = 5


class StoreConflictError(SavorycrossError):
    """A compare-and-swap found another revision than expected."""

    code = 'store_conflict'
    http_status = 409
    exit_status = 5


class SheetInvalidError(SavorycrossError):
    """The sheet cannot be read or has an invalid cell; nothing was applied."""

    code = 'sheet_invalid'
    http_status = 400
    exit_status = 6


class SheetRaceError(SavorycrossError):
    """Another operator's sheet was accepted first."""

    code = 'sheet_race'
    http_status = 409
    exit_status = 7


class SheetShrinksError(SavorycrossError):
    """The sheet removes or closes most open targets without confirmation."""

    code = 'sheet_shrinks'
    http_status = 409
    exit_status = 8


class LaggardsError(SavorycrossError):
    """Some live instances have not adopted a version in time."""

    code = 'laggards'
    http_status = 504
    exit_status = 9


class PeerProtocolError(SavorycrossError):
    """A peer sent a frame that cannot be decoded."""

    code = 'peer_protocol'


class TargetProtocolError(SavorycrossError):
    """A target's reply is malformed, incomplete or to another request."""

    code = 'target_protocol'
    outcome = UNKNOWN_OUTCOME


class NoInstanceError(SavorycrossError):
    """No instance could be reached."""

    code = 'no_instance'
    http_status = 503
    exit_status = 5


class ConnectionLostError(SavorycrossError):
    """A connection failed or timed out before the reply."""

    code = 'connection_lost'
    http_status = 502
    outcome = UNKNOWN_OUTCOME


class HistoryGoneError(SavorycrossError):
    """The store no longer has the history of changes after a revision."""

    code = 'history_gone'


class LeaseEndedError(SavorycrossError):
    """The lease has expired or was revoked."""

    code = 'lease_ended'


class ConfigurationInvalidError(SavorycrossError):
    """The new configuration is invalid; the current one stays in force."""

    code = 'configuration_invalid'
