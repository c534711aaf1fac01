"""Define the errors that the frontend answers with."""

import oriolestand_core as core


class NoRouteError(core.OriolestandError):
    """Raise when no route matches the host and path."""

    code = 'no_route'
    http_status = 404


class NoConfigError(core.OriolestandError):
    """Raise while the daemon has no configuration."""

    code = 'no_configuration'
    http_status = 503


class BadRequestError(core.OriolestandError):
    """Raise when a path or method names nothing."""

    code = 'bad_request'
    http_status = 400


class JobGoneError(core.OriolestandError):
    """Raise when no job has the id."""

    code = 'no_such_job'
    http_status = 410
