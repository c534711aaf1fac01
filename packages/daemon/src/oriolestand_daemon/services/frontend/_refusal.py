"""Encode an error as the body and headers of a response."""

import json

import oriolestand_core as core
from oriolestand_daemon.services.frontend import const

RETRY_CODES = frozenset({429, 503})


def body_of(error: core.OriolestandError) -> bytes:
    """Return the JSON body for an error."""
    return json.dumps(
        {
            'code': error.code,
            'message': error.message,
            'verdict': error.verdict.value,
            'values': {k: str(v) for k, v in error.values.items()},
        }
    ).encode()


def headers_of(
    error: core.OriolestandError, length: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers for an error whose body has a length."""
    headers = [
        (b'Content-Type', b'application/json'),
        (b'Content-Length', b'%d' % length),
        (const.HEADER_VERDICT.encode(), error.verdict.value.encode()),
    ]
    if error.http_status in RETRY_CODES:
        headers.append((b'Retry-After', b'%d' % const.RETRY_AFTER_S))
    return headers
