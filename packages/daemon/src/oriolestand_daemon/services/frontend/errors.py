"""Define the errors of requests that the frontend refuses."""

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
    """Raise when the body of a request exceeds its limit."""

    code = 'body_too_large'
    http_status = 413


class HeadTooLargeError(core.OriolestandError):
    """Raise when request line and headers exceed their limit."""

    code = 'head_too_large'
    http_status = 431


class HeadTimeoutError(core.OriolestandError):
    """Raise when the head of a request is not received in time."""

    code = 'head_timeout'
    http_status = 408


class UnframedResponseError(core.OriolestandError):
    """Raise when a response cannot be framed for an HTTP/1.0 caller.

    It has no length and does not fit into the buffer.
    """

    code = 'unframed_response'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502
