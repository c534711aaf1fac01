"""Define constants of the frontend service."""

DOMAIN = 'frontend'

HEADER_DEADLINE = 'oriolestand-deadline-ms'
HEADER_IDEMPOTENCY_KEY = 'idempotency-key'
HEADER_TEAM = 'oriolestand-team'
HEADER_TRACEPARENT = 'traceparent'
HEADER_VERDICT = 'Oriolestand-Verdict'
OWN_PREFIX = 'oriolestand-'
"""Headers with this prefix belong to this project on every hop."""

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    }
)
SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
NO_BODY_CODES = frozenset({204, 304})
RETRY_AFTER_S = 1

SWEEP_INTERVAL_MS = 500
"""How often slow heads and callers that left unread are looked for."""

LINGER_MS = 2_000
"""How long to read and drop a refused body before the connection closes.

A close with unread bytes resets the connection, which can destroy the
response before the caller has read it.
"""

HTTP10_BUFFER_BYTES = 64 * 1024
"""How much of a response without a length is kept for an HTTP/1.0 caller."""
