"""Validate and convert messages received from peers."""

import re

import oriolestand_core as core
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
import oriolestand_wire as wire

_HTTP_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}")
_TARGET = re.compile(r'/[!-~]*')
_HEADER_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
_ERROR_CODE = re.compile(r'[a-z][a-z0-9_]{0,63}')

Headers = tuple[tuple[str, str], ...]

ERROR_STATUSES = range(400, 600)
RESPONSE_STATUSES = range(200, 600)
DEFAULT_ERROR_STATUS = 502
MAX_ERROR_MESSAGE_CHARS = 500


def are_headers_valid(headers: Headers) -> bool:
    """Return whether the number and syntax of headers are valid."""
    return len(headers) <= const.MAX_HEADERS and all(
        _HTTP_TOKEN.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
        for name, value in headers
    )


def check_request_head(message: wire.Open, max_body_bytes: int) -> None:
    """Validate the head of a forwarded request.

    Raise HopLimitError if it was forwarded before, ForwardedRequestError if
    it is invalid. The error is sent back to the peer that forwarded the
    request.
    """
    if message.hops != 1:
        raise errors.HopLimitError(
            'the request has already been forwarded', hops=message.hops
        )
    is_valid = (
        _HTTP_TOKEN.fullmatch(message.method)
        and _TARGET.fullmatch(message.target)
        and _HEADER_VALUE.fullmatch(message.traceparent)
        and _HEADER_VALUE.fullmatch(message.idempotency_key)
        and are_headers_valid(message.headers)
    )
    if not is_valid:
        raise errors.ForwardedRequestError('the request head is malformed')
    if (message.body_length or 0) > max_body_bytes:
        error = errors.ForwardedRequestError('the body is too large')
        error.code = 'body_too_large'
        error.http_status = 413
        raise error


def is_response_head_valid(message: wire.ResponseHead) -> bool:
    """Return whether the head of a response can be sent to the caller."""
    return message.status in RESPONSE_STATUSES and are_headers_valid(
        message.headers
    )


def response_body_length(
    method: str, message: wire.ResponseHead
) -> int | None:
    """Return the length of the response body in bytes, None if unknown.

    >>> headers = (('Content-Length', '4'),)
    >>> head = wire.ResponseHead(status=200, headers=headers)
    >>> response_body_length('GET', head), response_body_length('HEAD', head)
    (4, 0)
    """
    if method == 'HEAD' or message.status in (204, 304):
        return 0
    for name, value in message.headers:
        if name.lower() == 'content-length' and value.isdecimal():
            return int(value)
    return None


def to_error(
    failed: wire.Failed, has_response_started: bool
) -> core.OriolestandError:
    """Convert a failure reported by a peer into an error.

    An unknown verdict, e.g. from a newer version, is treated as may_have_run.
    If the response has already started, did_not_run becomes may_have_run.
    """
    try:
        verdict = core.Verdict(failed.verdict)
    except ValueError:
        verdict = core.Verdict.MAY_HAVE_RUN
    if has_response_started:
        verdict = verdict.worst(core.Verdict.MAY_HAVE_RUN)
    error = errors.PeerFailedError(
        failed.message[:MAX_ERROR_MESSAGE_CHARS], verdict
    )
    if _ERROR_CODE.fullmatch(failed.code):
        error.code = failed.code
    error.http_status = failed.http_status
    if failed.http_status not in ERROR_STATUSES:
        error.http_status = DEFAULT_ERROR_STATUS
    return error
