"""Constants of the tables service."""

DOMAIN = 'tables'

TABLE = 'config'
KEY = 'current'
STAMP_KEY = 'stamp'
"""Key of a small row with the document's version and digest.

It is written in the same transaction as the document and polled instead of
it, because it is smaller.
"""
HISTORY_TABLE = 'config_history'
KEPT_VERSIONS = 1_000
"""Number of versions kept in the history; edits delete older ones.

At 39,000 edits a day the history would otherwise outgrow the store.
"""
POLL_INTERVAL_MS = 1_000

READ_BACK_PAUSE_MS = 200
READ_BACK_BUDGET_MS = 5_000
"""Time limit to determine whether an unanswered edit was applied."""

MAX_HISTORY = 50
KEPT_ADOPTIONS = 32


def history_key(version: int) -> str:
    """Return the history key of a version; keys sort in version order."""
    return f'{version:012d}'
