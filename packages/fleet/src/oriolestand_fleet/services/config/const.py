"""Define constants of the config service."""

DOMAIN = 'config'

FOLLOW_WAIT_MS = 1_000
"""Well below the time in which a change must be in force everywhere."""

RETRY_MS = 150
