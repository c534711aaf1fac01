"""Define the errors of attempts at upstreams."""

import oriolestand_core as core


class UpstreamConnectError(core.OriolestandError):
    """Raise when connecting to an upstream fails; nothing was sent."""

    code = 'upstream_unreachable'
    http_status = 502


class ConnectionLimitError(core.OriolestandError):
    """Raise when the granted slots allow no further connection."""

    code = 'connection_limit'
    http_status = 503


class UnsendableRequestError(core.OriolestandError):
    """Raise when a request is not valid HTTP; nothing was sent."""

    code = 'bad_request'
    http_status = 400


class UpstreamLostError(core.OriolestandError):
    """Raise when a response is truncated or malformed."""

    code = 'upstream_lost'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502


class UpstreamTimeoutError(UpstreamLostError):
    """Raise when the deadline passes before the response is complete."""

    code = 'upstream_timeout'
    http_status = 504


class UnframedResponseError(UpstreamLostError):
    """Raise when a response has neither a length nor chunked encoding.

    Its end cannot be distinguished from a truncation.
    """

    code = 'unframed_response'


class UpstreamRefusedError(core.OriolestandError):
    """Raise when an upstream reports that it did not run the request."""

    code = 'upstream_refused'
    http_status = 503


class CallerLeftError(core.OriolestandError):
    """Raise when the caller has left before the response is complete."""

    code = 'caller_left'
    http_status = 499


class CallerTooSlowError(core.OriolestandError):
    """Raise when the deadline passes while waiting for the caller."""

    code = 'caller_too_slow'
    http_status = 408
