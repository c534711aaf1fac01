"""Define the errors of the admin interface."""

import oriolestand_core as core


class BadRequestError(core.OriolestandError):
    """Raise when a parameter of a request is missing or invalid."""

    code = 'bad_request'
    http_status = 400


class UnknownPathError(core.OriolestandError):
    """Raise when there is no resource at a path."""

    code = 'unknown_path'
    http_status = 404


class UnknownMethodError(core.OriolestandError):
    """Raise when a resource does not support a method."""

    code = 'unknown_method'
    http_status = 405


class BodyTooLongError(core.OriolestandError):
    """Raise when the body of a request exceeds its limit."""

    code = 'body_too_long'
    http_status = 413


class ForeignOriginError(core.OriolestandError):
    """Raise when a request comes from a web page."""

    code = 'foreign_origin'
    http_status = 403


class ServiceNotLoadedError(core.OriolestandError):
    """Raise when this daemon does not run a service that is needed."""

    code = 'service_not_loaded'
    http_status = 404


class UnknownTraceError(core.OriolestandError):
    """Raise when this daemon has no span of a trace."""

    code = 'unknown_trace'
    http_status = 404


class UnknownEntryError(core.OriolestandError):
    """Raise when a table has no entry with the given name."""

    code = 'unknown_entry'
    http_status = 404
