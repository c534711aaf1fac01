"""Define constants of the admin service."""

DOMAIN = 'admin'

MAX_BODY_BYTES = 9 * 1024 * 1024
"""Above the largest document, so that its own check names the limit."""
HISTORY_LIMIT = 20
