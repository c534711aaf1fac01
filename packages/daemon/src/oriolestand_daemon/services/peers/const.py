"""Define constants of the peers service."""

DOMAIN = 'peers'

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
HANDSHAKE_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
CLOSE_TIMEOUT_MS = 1_000
"""How long a stopping daemon waits until its last bytes are sent."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5_000
"""Upper bound of the back-off between attempts to connect."""

HANDSHAKE_FRAME_BYTES = 4_096
"""Bounds what an unknown sender can make the listener keep."""

MAX_UNCREDITED_BYTES = 256 * 1024
"""Closes a link whose peer ignores credit.

A sender with 64 KiB of credit may overshoot by what one read of a socket
delivers, another 64 KiB.
"""

MAX_HEADERS = 256

KEPT_GENERATIONS = 32
"""How many versions of the tables forwarded requests may refer to."""

PEER_GRACE_MS = 1_000
"""How long after its deadline a forwarded request waits for its end."""

REGION_RESUME_BYTES = 4_096
"""Budget at which peers of other regions are offered to dispatch again."""

DISTANCE_DOMAIN = 0
DISTANCE_REGION = 1
DISTANCE_REMOTE = 2
