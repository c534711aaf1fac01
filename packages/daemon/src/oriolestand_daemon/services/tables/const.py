"""Define constants of the tables service."""

DOMAIN = 'tables'

TABLE = 'config'
KEY = 'current'
HISTORY_TABLE = 'config_history'
POLL_INTERVAL_MS = 1_000
