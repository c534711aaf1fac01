"""Translate headers between an exchange and an upstream's connection."""

from collections.abc import Iterable

from twisted.web import http_headers

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.upstreams import const

Pairs = tuple[tuple[str, str], ...]


def to_upstream(
    head: exchange.RequestHead, target: str, left_ms: int, traceparent: str
) -> http_headers.Headers:
    """Return the headers for an upstream, with what is left of time."""
    headers = http_headers.Headers()
    has_host = False
    for name, value in head.headers:
        if name.startswith(const.OWN_PREFIX) or name in const.HOP_BY_HOP:
            continue
        has_host = has_host or name == 'host'
        headers.addRawHeader(name.encode('ascii'), value.encode('latin-1'))
    if not has_host:
        headers.setRawHeaders(b'host', [target.encode('ascii')])
    headers.setRawHeaders(
        const.HEADER_DEADLINE.encode(), [b'%d' % max(0, left_ms)]
    )
    if traceparent:
        headers.setRawHeaders(
            const.HEADER_TRACEPARENT.encode(), [traceparent.encode('latin-1')]
        )
    if head.idempotency_key:
        headers.setRawHeaders(
            const.HEADER_IDEMPOTENCY_KEY.encode(),
            [head.idempotency_key.encode('latin-1')],
        )
    return headers


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
