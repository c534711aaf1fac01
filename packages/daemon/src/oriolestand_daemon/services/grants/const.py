"""Define constants of the grants service."""

DOMAIN = 'grants'

TABLE = 'grants'
SYNC_INTERVAL_MS = 1_000
