"""Define constants of the tables service."""

DOMAIN = 'tables'

TABLE = 'config'
KEY = 'current'
STAMP_KEY = 'stamp'
"""Key of a small row with version and digest, polled instead of the whole
document; written in the same transaction."""
HISTORY_TABLE = 'config_history'
KEPT_VERSIONS = 1_000
"""Older versions are deleted by later edits; at 39,000 edits a day the
history would otherwise outgrow the store."""
POLL_INTERVAL_MS = 1_000

READ_BACK_PAUSE_MS = 200
READ_BACK_BUDGET_MS = 5_000
"""How long to find out whether an edit with a lost answer took effect."""

MAX_HISTORY = 50
KEPT_ADOPTIONS = 32


def history_key(version: int) -> str:
    """Return the key of a version; keys sort as versions do."""
    return f'{version:012d}'
