"""Check what a peer sends before other services see it."""

import re

import oriolestand_core as core
from oriolestand_daemon.services.peers import const
from oriolestand_daemon.services.peers import errors
import oriolestand_wire as wire

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}")
_TARGET = re.compile(r'/[!-~]*')
_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
_CODE = re.compile(r'[a-z][a-z0-9_]{0,63}')

Headers = tuple[tuple[str, str], ...]

ERROR_STATUSES = range(400, 600)
ANSWER_STATUSES = range(200, 600)
UNKNOWN_STATUS = 502
MAX_MESSAGE_CHARS = 500


def are_headers_valid(headers: Headers) -> bool:
    """Return whether headers can be written to an HTTP connection."""
    return len(headers) <= const.MAX_HEADERS and all(
        _TOKEN.fullmatch(name) and _VALUE.fullmatch(value)
        for name, value in headers
    )


def check_open(message: wire.Open, max_body_bytes: int) -> None:
    """Raise the error that the forwarder gets for a bad head."""
    if message.hops != 1:
        raise errors.HopLimitError(
            'the request was forwarded before', hops=message.hops
        )
    is_valid = (
        _TOKEN.fullmatch(message.method)
        and _TARGET.fullmatch(message.target)
        and _VALUE.fullmatch(message.traceparent)
        and _VALUE.fullmatch(message.idempotency_key)
        and are_headers_valid(message.headers)
    )
    if not is_valid:
        raise errors.ForwardedRequestError('the head is malformed')
    if (message.body_length or 0) > max_body_bytes:
        error = errors.ForwardedRequestError('the body is too large')
        error.code = 'body_too_large'
        error.http_status = 413
        raise error


def is_answer_head_valid(message: wire.ResponseHead) -> bool:
    """Return whether the head of an answer can be passed on."""
    return message.status in ANSWER_STATUSES and are_headers_valid(
        message.headers
    )


def answer_length(method: str, message: wire.ResponseHead) -> int | None:
    """Return how many bytes the answer's body must have, if known.

    >>> headers = (('Content-Length', '4'),)
    >>> head = wire.ResponseHead(status=200, headers=headers)
    >>> answer_length('GET', head), answer_length('HEAD', head)
    (4, 0)
    """
    if method == 'HEAD' or message.status in (204, 304):
        return 0
    for name, value in message.headers:
        if name.lower() == 'content-length' and value.isdecimal():
            return int(value)
    return None


def to_error(message: wire.Failed, is_answered: bool) -> core.OriolestandError:
    """Return a peer's error; what is unknown counts as may have run."""
    try:
        verdict = core.Verdict(message.verdict)
    except ValueError:
        verdict = core.Verdict.MAY_HAVE_RUN
    if is_answered:
        verdict = verdict.worst(core.Verdict.MAY_HAVE_RUN)
    error = errors.PeerRefusedError(
        message.message[:MAX_MESSAGE_CHARS], verdict
    )
    if _CODE.fullmatch(message.code):
        error.code = message.code
    error.http_status = message.http_status
    if message.http_status not in ERROR_STATUSES:
        error.http_status = UNKNOWN_STATUS
    return error
