"""Define constants of the frontend service."""

DOMAIN = 'frontend'

HEADER_DEADLINE = b'x-deadline-ms'
DEFAULT_DEADLINE_MS = 3_000
RETRY_AFTER_S = 1

DEFAULT_BODY_BYTES = 262_144
"""Largest body while there is no configuration that says so."""

READY_PATH = b'/readiness'
SYNC_GRACE_MS = 1_500
"""A daemon that has not heard from the store for this long is not ready."""

DRAIN_SERVE_MS = 2_500
"""How long new connections are taken after the signal to end; the balancer
needs two missed checks, a second apart, to stop sending them."""

DRAIN_IDLE_MS = 700
"""Connections without a request for this long are closed while draining."""

DRAIN_POLL_MS = 50
JOB_ID_LENGTH = 16
"""Hexadecimal digits of a job's id."""
