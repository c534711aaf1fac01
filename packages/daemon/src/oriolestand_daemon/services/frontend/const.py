"""Define constants of the frontend service."""

DOMAIN = 'frontend'

HEADER_DEADLINE = 'oriolestand-deadline-ms'
HEADER_IDEMPOTENCY_KEY = 'idempotency-key'
HEADER_TEAM = 'oriolestand-team'
HEADER_TRACEPARENT = 'traceparent'
HEADER_VERDICT = 'Oriolestand-Verdict'
PROJECT_HEADER_PREFIX = 'oriolestand-'
"""Prefix of headers reserved for this project; never forwarded to callers."""

HOP_BY_HOP_HEADERS = frozenset(
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
NO_BODY_STATUSES = frozenset({204, 304})
RETRY_AFTER_S = 1

SWEEP_INTERVAL_MS = 500
"""Interval of the check for slow heads, idle and half-closed connections."""

LINGER_MS = 2_000
"""Maximum time for which a refused body is read and discarded.

Closing a socket with unread bytes resets the connection, which can destroy
the response before the caller has read it.
"""

HTTP10_BUFFER_BYTES = 64 * 1024
"""Buffer size for a response without a length to an HTTP/1.0 caller."""
