"""Constants of the membership service."""

DOMAIN = 'membership'

POLL_INTERVAL_MS = 1_000
