"""Define constants of the jobs service."""

DOMAIN = 'jobs'

FOLLOW_WAIT_MS = 1_000
RETRY_MS = 100

DEADLINE_MARGIN_MS = 150
"""Time that is left for the answer to reach the caller."""
