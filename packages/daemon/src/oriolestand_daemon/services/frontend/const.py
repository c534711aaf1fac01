"""Define constants of the frontend service."""

DOMAIN = 'frontend'

HEADER_DEADLINE = 'Oriolestand-Deadline-Ms'
HEADER_IDEMPOTENCY_KEY = 'Idempotency-Key'
HEADER_TEAM = 'Oriolestand-Team'
HEADER_TRACEPARENT = 'traceparent'
HEADER_VERDICT = 'Oriolestand-Verdict'

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    }
)
SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
RETRY_AFTER_S = 1
