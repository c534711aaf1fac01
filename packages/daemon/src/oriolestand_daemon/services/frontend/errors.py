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


class HeadTooLargeError(core.OriolestandError):
    """Raise when a request's line and headers are larger than allowed."""

    code = 'head_too_large'
    http_status = 431


class HeadTimeoutError(core.OriolestandError):
    """Raise when a request's head is not complete in time."""

    code = 'head_timeout'
    http_status = 408


class UnframedResponseError(core.OriolestandError):
    """Raise when an HTTP/1.0 caller cannot be shown where a response ends."""

    code = 'unframed_response'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502
