"""Convert headers between an exchange and a connection to an upstream."""

from collections.abc import Iterable

from twisted.web import http_headers

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.upstreams import const

_NOT_FORWARDED = const.HOP_BY_HOP_HEADERS | {
    const.HEADER_TRACEPARENT,
    const.HEADER_IDEMPOTENCY_KEY,
}

HeaderPairs = tuple[tuple[str, str], ...]


def to_upstream(
    head: exchange.RequestHead,
    target: str,
    remaining_ms: int,
    traceparent: str,
) -> bytes:
    """Return the encoded headers for an upstream.

    They include the remaining time until the deadline. Raise ValueError if
    a line break in a header would inject another one.
    """
    lines = []
    has_host = False
    for name, value in head.headers:
        if name in _NOT_FORWARDED or name.startswith(
            const.PROJECT_HEADER_PREFIX
        ):
            continue
        has_host = has_host or name == 'host'
        lines.append(f'{name}: {value}')
    if not has_host:
        lines.append(f'host: {target}')
    lines.append(f'{const.HEADER_DEADLINE}: {max(0, remaining_ms)}')
    if traceparent:
        lines.append(f'{const.HEADER_TRACEPARENT}: {traceparent}')
    if head.idempotency_key:
        lines.append(f'{const.HEADER_IDEMPOTENCY_KEY}: {head.idempotency_key}')
    text = '\r\n'.join(lines)
    breaks = len(lines) - 1
    if text.count('\n') != breaks or text.count('\r') != breaks:
        raise ValueError('a header contains a line break')
    return text.encode('latin-1') + b'\r\n\r\n'


def to_caller(
    headers: http_headers.Headers,
    connection: Iterable[bytes],
    length: int | None,
) -> HeaderPairs:
    """Return the response headers to send to the caller.

    Headers with the prefix of this project are addressed to the daemon, and
    those listed in Connection apply to this hop only; both are removed.
    """
    dropped = const.HOP_BY_HOP_HEADERS
    for raw in connection:
        options = raw.decode('latin-1').split(',')
        dropped = dropped | {o.strip().lower() for o in options}
    pairs = []
    for raw_name, values in headers.getAllRawHeaders():
        name = raw_name.decode('ascii')
        lower = name.lower()
        if lower in dropped or lower.startswith(const.PROJECT_HEADER_PREFIX):
            continue
        for value in values:
            pairs.append((name, value.decode('latin-1')))
    if length is not None:
        pairs.append(('Content-Length', str(length)))
    return tuple(pairs)
