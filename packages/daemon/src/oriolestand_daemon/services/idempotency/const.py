"""Constants of the idempotency service."""

DOMAIN = 'idempotency'

TABLE = 'keys'

MAX_KEY_CHARS = 255
MAX_STORED_BODY_BYTES = 8 * 1024
"""Responses with longer bodies are not stored.

A repeat of such a request gets an error with the verdict that it ran.
"""

MAX_STORED_HEADERS = 32

COMMIT_ATTEMPTS = 3
RETRY_DELAY_MS = 100
"""Delay before a transaction whose answer was lost is sent again."""

STORE_DOWN_DELAY_MS = 1_000
"""Delay before pending writes are retried after a failure of the store."""

FLUSH_POLL_MS = 20

HEADER_REPLAYED = 'Idempotent-Replayed'
