"""Constants of the config service."""

DOMAIN = 'config'

FOLLOW_WAIT_MS = 1_000
"""Well below the time within which a change must take effect everywhere."""

RETRY_MS = 150
