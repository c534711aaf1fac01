"""Translate headers between an exchange and an upstream's connection."""

from collections.abc import Iterable

from twisted.web import http_headers

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.upstreams import const

_REPLACED = const.HOP_BY_HOP | {
    const.HEADER_TRACEPARENT,
    const.HEADER_IDEMPOTENCY_KEY,
}

Pairs = tuple[tuple[str, str], ...]


def to_upstream(
    head: exchange.RequestHead, target: str, left_ms: int, traceparent: str
) -> bytes:
    """Return the headers for an upstream, with what is left of time.

    Raise ValueError for a header that would begin another one.
    """
    lines = []
    has_host = False
    for name, value in head.headers:
        if name in _REPLACED or name.startswith(const.OWN_PREFIX):
            continue
        has_host = has_host or name == 'host'
        lines.append(f'{name}: {value}')
    if not has_host:
        lines.append(f'host: {target}')
    lines.append(f'{const.HEADER_DEADLINE}: {max(0, left_ms)}')
    if traceparent:
        lines.append(f'{const.HEADER_TRACEPARENT}: {traceparent}')
    if head.idempotency_key:
        lines.append(f'{const.HEADER_IDEMPOTENCY_KEY}: {head.idempotency_key}')
    text = '\r\n'.join(lines)
    breaks = len(lines) - 1
    if text.count('\n') != breaks or text.count('\r') != breaks:
        raise ValueError('a header has a line break')
    return text.encode('latin-1') + b'\r\n\r\n'


def to_caller(
    headers: http_headers.Headers,
    connection: Iterable[bytes],
    length: int | None,
) -> Pairs:
    """Return an upstream's headers to pass on.

    Headers of this project are an upstream's word to the daemon, and those
    named in Connection are for this hop; neither goes to the caller.
    """
    dropped = const.HOP_BY_HOP
    for raw in connection:
        options = raw.decode('latin-1').split(',')
        dropped = dropped | {o.strip().lower() for o in options}
    pairs = []
    for raw_name, values in headers.getAllRawHeaders():
        name = raw_name.decode('ascii')
        lower = name.lower()
        if lower in dropped or lower.startswith(const.OWN_PREFIX):
            continue
        for value in values:
            pairs.append((name, value.decode('latin-1')))
    if length is not None:
        pairs.append(('Content-Length', str(length)))
    return tuple(pairs)
