"""Define constants of the peers service."""

DOMAIN = 'peers'

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
HANDSHAKE_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
CLOSE_TIMEOUT_MS = 1_000
"""Maximum wait of a stopping daemon until pending output is sent."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5_000
"""Upper bound of the back-off between connection attempts."""

HANDSHAKE_FRAME_BYTES = 4_096
"""Frame limit before the hello.

Limits the memory that an unauthenticated sender can occupy.
"""

MAX_UNCREDITED_BYTES = 256 * 1024
"""Bytes received without returned credit at which a link is closed.

A peer that respects credit stays below: it starts with 64 KiB of credit and
may exceed it by one socket read, another 64 KiB.
"""

MAX_HEADERS = 256

MAX_STORED_GENERATIONS = 32
"""Number of table versions stored for forwarded requests to refer to."""

PEER_GRACE_MS = 1_000
"""Time from the deadline of a forwarded request until it is aborted."""

REGION_RESUME_BYTES = 4_096
"""Budget in bytes at which forwarding to other regions resumes."""

DISTANCE_DOMAIN = 0
DISTANCE_REGION = 1
DISTANCE_REMOTE = 2
