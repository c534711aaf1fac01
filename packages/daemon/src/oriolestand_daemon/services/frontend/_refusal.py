"""Encode an error as the headers and JSON body of a response."""

import json

import oriolestand_core as core
from oriolestand_daemon.services.frontend import const

MILLIS_PER_SECOND = 1000
RETRY_AFTER_STATUSES = frozenset({429, 503})


def encode_body(error: core.OriolestandError) -> bytes:
    """Return the JSON body that describes an error."""
    return json.dumps(
        {
            'code': error.code,
            'message': error.message,
            'verdict': error.verdict.value,
            'values': {k: str(v) for k, v in error.values.items()},
        }
    ).encode()


def build_headers(
    error: core.OriolestandError, length: int
) -> list[tuple[str, str]]:
    """Return the headers for an error whose body is ``length`` bytes long."""
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(length)),
        (const.HEADER_VERDICT, error.verdict.value),
    ]
    if error.http_status in RETRY_AFTER_STATUSES:
        headers.append(('Retry-After', str(_retry_after_s(error))))
    return headers


def _retry_after_s(error: core.OriolestandError) -> int:
    """Return the error's ``retry_after_ms`` in whole seconds, rounded up.

    The minimum, also used without an estimate, is ``RETRY_AFTER_S``.
    """
    wait_ms = error.values.get('retry_after_ms')
    if not isinstance(wait_ms, int):
        return const.RETRY_AFTER_S
    return max(const.RETRY_AFTER_S, -(-wait_ms // MILLIS_PER_SECOND))
