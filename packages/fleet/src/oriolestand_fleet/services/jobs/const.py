"""Define constants of the jobs service."""

DOMAIN = 'jobs'

FOLLOW_WAIT_MS = 1_000
RETRY_MS = 100

FOLLOW_PAUSE_MS = 120
"""Pause after changes, so that several come in one answer; every call to the
store is paid for."""

OWNER_PAUSE_MS = 15
"""The owner of the cell waits less, as jobs start only when it knows them."""

DEADLINE_MARGIN_MS = 150
"""Time that is left for the answer to reach the caller."""
