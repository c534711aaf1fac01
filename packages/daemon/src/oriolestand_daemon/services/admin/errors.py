"""Define the errors of operators' requests."""

import oriolestand_core as core


class BadRequestError(core.OriolestandError):
    """Raise when a parameter of a request is missing or wrong."""

    code = 'bad_request'
    http_status = 400


class UnknownPathError(core.OriolestandError):
    """Raise when no resource has a path."""

    code = 'unknown_path'
    http_status = 404


class UnknownMethodError(core.OriolestandError):
    """Raise when a resource does not know a method."""

    code = 'unknown_method'
    http_status = 405


class BodyTooLongError(core.OriolestandError):
    """Raise when the body of a request is longer than allowed."""

    code = 'body_too_long'
    http_status = 413


class ForeignOriginError(core.OriolestandError):
    """Raise when a web page of another site sent a request."""

    code = 'foreign_origin'
    http_status = 403


class ServiceNotLoadedError(core.OriolestandError):
    """Raise when this daemon does not run the service that would answer."""

    code = 'service_not_loaded'
    http_status = 404


class UnknownTraceError(core.OriolestandError):
    """Raise when no span of a trace is kept here."""

    code = 'unknown_trace'
    http_status = 404


class UnknownEntryError(core.OriolestandError):
    """Raise when a table has no entry with a name."""

    code = 'unknown_entry'
    http_status = 404
