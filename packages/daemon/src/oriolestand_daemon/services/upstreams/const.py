"""Define constants of the upstreams service."""

DOMAIN = 'upstreams'

CONNECT_TIMEOUT_MS = 1_000
SWEEP_INTERVAL_MS = 20
"""Interval of the deadline check, which is cheaper than a timer per request.

An attempt may thus end up to 20 ms late, within the grace of a held slot.
"""

CONNECTIONS_PER_SLOT = 8
"""An upstream has 64 connections for 8 slots; grants divide both alike."""

HEADER_DEADLINE = 'oriolestand-deadline-ms'
HEADER_IDEMPOTENCY_KEY = 'idempotency-key'
HEADER_LEAVING = 'oriolestand-leaving'
HEADER_TRACEPARENT = 'traceparent'
HEADER_VERDICT = 'oriolestand-verdict'
PROJECT_HEADER_PREFIX = 'oriolestand-'

HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
"""Twisted's client removes most of these from responses.

Request headers forwarded by a peer may contain any of them.
"""
