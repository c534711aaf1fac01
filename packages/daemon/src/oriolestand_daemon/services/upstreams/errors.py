"""Define the errors of attempts at an upstream."""

import oriolestand_core as core


class UpstreamConnectError(core.OriolestandError):
    """Raise when no connection could be made; nothing was sent."""

    code = 'upstream_unreachable'
    http_status = 502


class ConnectionLimitError(core.OriolestandError):
    """Raise when the granted slots allow no further connection."""

    code = 'connection_limit'
    http_status = 503


class UnsendableRequestError(core.OriolestandError):
    """Raise when a request cannot be written as HTTP; nothing was sent."""

    code = 'bad_request'
    http_status = 400


class UpstreamLostError(core.OriolestandError):
    """Raise when the response of an upstream did not come whole."""

    code = 'upstream_lost'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502


class UpstreamTimeoutError(UpstreamLostError):
    """Raise when the deadline passed before the response was whole."""

    code = 'upstream_timeout'
    http_status = 504


class UnframedResponseError(UpstreamLostError):
    """Raise when a response has neither a length nor chunks.

    Its end cannot be told from a cut.
    """

    code = 'unframed_response'


class UpstreamRefusedError(core.OriolestandError):
    """Raise when an upstream says that it did not run the request."""

    code = 'upstream_refused'
    http_status = 503


class CallerLeftError(core.OriolestandError):
    """Raise when the caller left before the response was whole."""

    code = 'caller_left'
    http_status = 499


class CallerTooSlowError(core.OriolestandError):
    """Raise when the deadline passed while waiting for the caller."""

    code = 'caller_too_slow'
    http_status = 408
