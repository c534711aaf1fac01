"""Define constants of the grants service."""

DOMAIN = 'grants'

TABLE = 'grants'
HOME_TABLE = 'grant_homes'
"""Names the failure domain whose shard holds an upstream's grants."""

UNSETTLED_INTERVAL_MS = 500
"""Interval of syncs while this daemon's shares are not at their targets."""

SETTLED_INTERVAL_MS = 10_000
"""Interval of syncs otherwise; it bounds reads of the table service."""

MAX_PLAN_ROUNDS = 3
RELEASE_ATTEMPTS = 10
