"""Define the errors of requests that are refused at the door."""

import oriolestand_core as core


class NoRouteError(core.OriolestandError):
    """Raise when no route matches a request."""

    code = 'no_route'
    http_status = 404


class BadRequestError(core.OriolestandError):
    """Raise when a request is malformed."""

    code = 'bad_request'
    http_status = 400


class BodyTooLargeError(core.OriolestandError):
    """Raise when a request's body is larger than allowed."""

    code = 'body_too_large'
    http_status = 413
