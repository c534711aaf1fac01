"""Encode the head of a response to a caller."""

from collections.abc import Iterable
import http

from oriolestand_daemon.services.frontend import const

_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_LINE_BREAKS = str.maketrans('\r\n\0', '   ')


def filter_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the response headers that may be sent to the caller."""
    kept = []
    for pair in headers:
        lower = pair[0].lower()
        if lower in const.HOP_BY_HOP_HEADERS or lower.startswith(
            const.PROJECT_HEADER_PREFIX
        ):
            continue
        kept.append(pair)
    return kept


def encode(
    version: bytes, status: int, headers: Iterable[tuple[str, str]]
) -> bytes:
    r"""Return the encoded status line and headers.

    Line breaks and NUL are replaced by spaces, so that a value cannot
    inject another header.

    >>> encode(b'HTTP/1.1', 200, [('A', 'b')])
    b'HTTP/1.1 200 OK\r\nA: b\r\n\r\n'
    >>> encode(b'HTTP/1.1', 299, [('A', 'b\r\nC: d')])
    b'HTTP/1.1 299 Unknown\r\nA: b  C: d\r\n\r\n'
    """
    lines = [f'{name}: {value}' for name, value in headers]
    phrase = _PHRASES.get(status, 'Unknown')
    text = '\r\n'.join(lines)
    breaks = max(0, len(lines) - 1)
    if (
        text.count('\n') != breaks
        or text.count('\r') != breaks
        or '\0' in text
    ):
        text = '\r\n'.join([x.translate(_LINE_BREAKS) for x in lines])
    head = f'{version.decode()} {status} {phrase}\r\n{text}\r\n\r\n'
    return head.encode('latin-1')
