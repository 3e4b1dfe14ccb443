"""Exceptions with stable codes.

Every error that leaves a process, in an answer, an exit status or a log
line, carries the ``code`` of one of these classes.
"""

NOT_RUN = 'not_run'
UNKNOWN_OUTCOME = 'unknown_outcome'


class SavorycrossError(Exception):
    """Base of all errors of this package.

    :param message: one line for a person.
    :param details: further lines, for example one per invalid cell.
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
    """A command line that cannot be understood."""

    code = 'usage'
    http_status = 400
    exit_status = 2


class SettingsError(SavorycrossError):
    """One or more settings have values that are not allowed."""

    code = 'settings_invalid'
    exit_status = 2


class BadRequestError(SavorycrossError):
    """A request that is malformed or has a field out of range."""

    code = 'bad_request'
    http_status = 400
    exit_status = 2


class BodyTooLargeError(SavorycrossError):
    """A request body longer than the limit."""

    code = 'body_too_large'
    http_status = 413


class NotFoundError(SavorycrossError):
    """No resource at this path."""

    code = 'not_found'
    http_status = 404


class UnknownWorkloadError(SavorycrossError):
    """The request names a workload that the configuration lacks."""

    code = 'unknown_workload'
    http_status = 404


class NotReadyError(SavorycrossError):
    """The instance cannot serve yet, or is stopping."""

    code = 'not_ready'
    http_status = 503


class OverloadedError(SavorycrossError):
    """Admission refused the request; nothing was sent to any target."""

    code = 'overloaded'
    http_status = 429


class DeadlineInfeasibleError(SavorycrossError):
    """The deadline is shorter than the request can take."""

    code = 'deadline_infeasible'
    http_status = 429


class CoverageTooLowError(SavorycrossError):
    """Fewer shards answered than the caller or the workload demands."""

    code = 'coverage_too_low'
    http_status = 503
    exit_status = 3


class BookingNotRunError(SavorycrossError):
    """The booking was not run and will not be run under this ticket."""

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
    """A ticket that no instance has issued."""

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
    """A sheet with at least one invalid cell; nothing was applied."""

    code = 'sheet_invalid'
    http_status = 400
    exit_status = 6


class SheetRaceError(SavorycrossError):
    """Another operator's sheet was accepted first."""

    code = 'sheet_race'
    http_status = 409
    exit_status = 7


class SheetShrinksError(SavorycrossError):
    """A sheet that removes most targets and was not confirmed."""

    code = 'sheet_shrinks'
    http_status = 409
    exit_status = 8


class LaggardsError(SavorycrossError):
    """Some live instances have not reported a version in time."""

    code = 'laggards'
    http_status = 504
    exit_status = 9


class PeerProtocolError(SavorycrossError):
    """A peer sent a frame that cannot be decoded."""

    code = 'peer_protocol'


class TargetProtocolError(SavorycrossError):
    """A target's answer is incomplete, late for another request or torn."""

    code = 'target_protocol'
    outcome = UNKNOWN_OUTCOME


class NoInstanceError(SavorycrossError):
    """No instance could be reached."""

    code = 'no_instance'
    http_status = 503
    exit_status = 5


class ConnectionLostError(SavorycrossError):
    """A connection ended, or stayed silent, before the reply."""

    code = 'connection_lost'
    http_status = 502
    outcome = UNKNOWN_OUTCOME


class HistoryGoneError(SavorycrossError):
    """The store no longer holds the changes after a revision."""

    code = 'history_gone'


class LeaseEndedError(SavorycrossError):
    """The lease does not exist any more."""

    code = 'lease_ended'


class ConfigurationInvalidError(SavorycrossError):
    """A configuration that cannot be read; the one in force stays."""

    code = 'configuration_invalid'
