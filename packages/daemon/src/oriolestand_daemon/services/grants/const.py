"""Constants of the grants service."""

DOMAIN = 'grants'

TABLE = 'grants'
HOME_TABLE = 'grant_homes'
"""Table from upstream to the failure domain whose shard grants its slots."""

UNSETTLED_INTERVAL_MS = 500
"""Sync interval while this daemon's shares differ from their targets."""

SETTLED_INTERVAL_MS = 10_000
"""Sync interval otherwise; limits the reads of the table service."""

MAX_PLAN_ROUNDS = 3
RELEASE_ATTEMPTS = 10
