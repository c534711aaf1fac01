"""Errors that the frontend returns to callers."""

import oriolestand_core as core


class NoRouteError(core.OriolestandError):
    """Raised when no route matches the host and path."""

    code = 'no_route'
    http_status = 404


class NoConfigError(core.OriolestandError):
    """Raised while the daemon has no configuration."""

    code = 'no_configuration'
    http_status = 503


class BadRequestError(core.OriolestandError):
    """Raised when the path or method of a request is invalid."""

    code = 'bad_request'
    http_status = 400


class JobNotFoundError(core.OriolestandError):
    """Raised when no job has the requested id."""

    code = 'no_such_job'
    http_status = 410
