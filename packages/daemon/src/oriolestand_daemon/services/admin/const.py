"""Define constants of the admin service."""

DOMAIN = 'admin'

MAX_BODY_BYTES = 9 * 1024 * 1024
"""Larger than any valid document, so that the document limit is reported."""
HISTORY_LIMIT = 20
