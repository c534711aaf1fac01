"""Constants of the frontend service."""

DOMAIN = 'frontend'

HEADER_DEADLINE = b'x-deadline-ms'
DEFAULT_DEADLINE_MS = 3_000
RETRY_AFTER_S = 1

BEAT_MS = 100
PAUSE_MS = 500
"""Time without a pass of the reactor that counts as a pause of the process."""

READ_AFTER_PAUSE_MS = 300
"""Time after a pause in which what arrived during it may still be read: each
pass of the reactor accepts a limited number of connections."""

DEFAULT_BODY_BYTES = 262_144
"""Largest request body until a configuration is loaded."""

READY_PATH = b'/readiness'
SYNC_GRACE_MS = 1_500
"""Extra time without a response of the store until the daemon is not ready."""

DRAIN_SERVE_MS = 2_500
"""How long new connections are accepted during shutdown; the load balancer
stops sending them after two failed checks, one second apart."""

DRAIN_IDLE_MS = 700
"""Connections that are idle for this long are closed while draining."""

DRAIN_POLL_MS = 50
NEXT_PASS_MS = 0
"""A timer with this delay is called in the next pass of the reactor. Each pass
calls the due timers before it reads from sockets, so that a connection may
look idle although a request is received already."""

JOB_ID_LENGTH = 16
"""Number of hexadecimal digits of a job id."""
