"""Define constants of the peers service."""

DOMAIN = 'peers'

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5_000
"""Upper bound of the back-off between attempts to connect."""

DISTANCE_DOMAIN = 0
DISTANCE_REGION = 1
DISTANCE_REMOTE = 2
