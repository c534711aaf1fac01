"""Define constants of the upstreams service."""

DOMAIN = 'upstreams'

CONNECT_TIMEOUT_MS = 1_000
SWEEP_INTERVAL_MS = 20
"""How often deadlines are checked; a timer per request costs the path more.

A deadline is thus up to 20 ms late, within the grace of a held slot.
"""

CONNECTIONS_PER_SLOT = 8
"""An upstream has 64 connections for 8 slots; grants share both alike."""

HEADER_DEADLINE = 'oriolestand-deadline-ms'
HEADER_IDEMPOTENCY_KEY = 'idempotency-key'
HEADER_LEAVING = 'oriolestand-leaving'
HEADER_TRACEPARENT = 'traceparent'
HEADER_VERDICT = 'oriolestand-verdict'
OWN_PREFIX = 'oriolestand-'

HOP_BY_HOP = frozenset(
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
"""Twisted's client takes out most of these; peers may send any."""
