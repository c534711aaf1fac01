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
) -> list[tuple[str, str]]:
    """Return the headers for an error whose body has a length."""
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(length)),
        (const.HEADER_VERDICT, error.verdict.value),
    ]
    if error.http_status in RETRY_CODES:
        headers.append(('Retry-After', str(const.RETRY_AFTER_S)))
    return headers
