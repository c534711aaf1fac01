"""Constants of the idempotency service."""

DOMAIN = 'idempotency'

TABLE = 'keys'

MAX_KEY_CHARS = 255
MAX_STORED_BODY_BYTES = 8 * 1024
"""Answers with longer bodies are not stored.

A repeat then gets an error that says that the request ran.
"""

MAX_STORED_HEADERS = 32

COMMIT_ATTEMPTS = 3
RETRY_DELAY_MS = 100
"""Delay before a transaction whose answer was lost is sent again."""

STORE_DOWN_DELAY_MS = 1_000
"""Delay before outcomes are written again after a failure of the store."""

FLUSH_POLL_MS = 20

HEADER_REPLAYED = 'Idempotent-Replayed'
